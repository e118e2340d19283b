// Command lostforms counts, from the logs of hosts, the requests of a day that could have
// shown each form of a request that ends without an answer, and how they ended.
//
// It reads lines of the form "SECONDS HOST JSON", and for the disturbances of the day lines
// of the form "FROM s to UNTIL s KIND". docs/incidents/lost-forms.md describes the forms.
package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"log"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
)

// Times of the rule on small deployments, in seconds.
const (
	contactTime = 3.0 // a host is in touch this long after a disturbance
	stopTime    = 9.0 // from SIGTERM to the end of the window: the grace period and a second
	applyTime   = 2.0 // from an acknowledgement until a configuration is in effect
	changeTime  = applyTime + 1
	submitTime  = 0.2 // from the sending of a configuration to its line, estimated
)

// plannedKinds are the starts of kinds of planned work and of changes of the load, which are
// no disturbances.
var plannedKinds = []string{
	"config_", "bad_config", "big_config", "revoke", "roll_term", "hup", "release", "scale_", "evacuate", "seed_turnover",
	"burst", "hot_", "give_up", "retry_abuse",
}

// serverKinds are the starts of kinds of disturbances of backend servers, during which hosts
// are in touch.
var serverKinds = []string{"srv_", "garble", "answer_lost"}

// span is a time from its first to its last second.
type span struct{ from, until float64 }

func (s span) overlaps(o span) bool { return s.from <= o.until && o.from <= s.until }

// request is a request line of a host.
type request struct {
	span
	host                   string
	connRequest            int
	sent                   bool
	outcome, closed, cause string
}

// day holds what the lines of a day tell.
type day struct {
	requests           []request
	stops, reloads     map[string][]span // by host
	changes            []span
	disturbed, unsound []span // without and with the disturbances of servers
	idle, unused       int    // connections that were closed
	unhandled          map[string]int
	tries              int // as their callers counted them, 0 if not stated
}

// fields are the fields of a log line that are used.
type fields struct {
	Msg         string  `json:"msg"`
	TotalMS     float64 `json:"total_ms"`
	ConnRequest int     `json:"conn_request"`
	Outcome     string  `json:"outcome"`
	Closed      any     `json:"closed"` // a reason, or a number of connections
	Cause       any     `json:"cause"`
	Error       any     `json:"error"`
	Signal      any     `json:"signal"`
	Reason      string  `json:"reason"`
}

var (
	hostLine        = regexp.MustCompile(`^\s*(-?[0-9.]+) (\S+) (\{.*\})$`)
	disturbanceLine = regexp.MustCompile(`^\s*([0-9.]+) s(?: to\s+([0-9.]+) s)?\s+([a-z_]+)( |$)`)
	triesLine       = regexp.MustCompile(`^how tries ended: (.*)$`)
	countField      = regexp.MustCompile(`: ([0-9]+)(?:;|$)`)
)

func seconds(s string) float64 {
	v, _ := strconv.ParseFloat(s, 64) // the expressions match numbers only
	return v
}

func hasPrefix(kind string, prefixes []string) bool {
	return slices.ContainsFunc(prefixes, func(p string) bool { return strings.HasPrefix(kind, p) })
}

// read reads the lines of a day.
func read(in io.Reader) (*day, error) {
	d := &day{stops: map[string][]span{}, reloads: map[string][]span{}, unhandled: map[string]int{}}
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, 1<<20)
	timeline := false
	for lines.Scan() {
		text := lines.Text()
		if m := hostLine.FindStringSubmatch(text); m != nil {
			var f fields
			if json.Unmarshal([]byte(m[3]), &f) == nil {
				d.add(seconds(m[1]), m[2], f)
			}
			continue
		}
		timeline = timeline && text != "" || text == "what happened"
		if m := disturbanceLine.FindStringSubmatch(text); timeline && m != nil {
			d.disturb(m)
		}
		if m := triesLine.FindStringSubmatch(text); m != nil {
			for _, c := range countField.FindAllStringSubmatch(m[1], -1) {
				d.tries += int(seconds(c[1]))
			}
		}
	}
	return d, lines.Err()
}

// disturb records a disturbance, unless it is planned.
func (d *day) disturb(m []string) {
	if hasPrefix(m[3], plannedKinds) {
		return
	}
	s := span{seconds(m[1]), max(seconds(m[1]), seconds(m[2]))}
	d.unsound = append(d.unsound, s)
	if !hasPrefix(m[3], serverKinds) {
		d.disturbed = append(d.disturbed, s)
	}
}

func (d *day) add(at float64, host string, f fields) {
	switch f.Msg {
	case "request":
		closed, _ := f.Closed.(string)
		cause, _ := f.Cause.(string)
		d.requests = append(d.requests, request{
			span: span{at - f.TotalMS/1000, at}, host: host, connRequest: f.ConnRequest,
			sent: f.Outcome != "refused", outcome: f.Outcome, closed: closed, cause: cause,
		})
	case "request refused":
		d.requests = append(d.requests, request{span: span{at, at}, host: host, outcome: "refused"})
	case "request dropped", "request handler panicked":
		d.requests = append(d.requests, request{span: span{at, at}, host: host, closed: f.Msg})
	case "stopping":
		d.stops[host] = append(d.stops[host], span{at, at + stopTime})
	case "settings reloaded":
		if f.Signal == true {
			d.reloads[host] = append(d.reloads[host], span{at, at + applyTime})
		}
	case "configuration submitted":
		if f.Error == nil {
			d.changes = append(d.changes, span{at - submitTime, at + changeTime})
		}
	case "checked idle connections", "closed unused connections":
		n, _ := f.Closed.(float64)
		if f.Msg == "checked idle connections" {
			d.idle += int(n)
		} else {
			d.unused += int(n)
		}
	case "connection ended without a handled request":
		d.unhandled[f.Reason]++
	}
}

// end returns how a request ended, from its caller's point of view.
func (r *request) end() string {
	switch {
	case r.closed == "" && r.outcome == "whole":
		return "whole"
	case r.closed == "":
		return "answered" // refused or failed, with a status
	case r.closed == "the caller has left":
		return "left"
	case strings.Contains(r.cause, "deadline"):
		return "deadline"
	case r.closed == "the host stops":
		return "stopped"
	case r.outcome == "broken" || r.outcome == "server error":
		return "broken off"
	}
	return "cut"
}

var ends = []string{"whole", "answered", "left", "deadline", "broken off", "stopped", "cut"}

// isCalm reports whether no disturbance was in progress from contactTime before the request
// until its end.
func (r *request) isCalm(disturbances []span) bool {
	return !overlapsAny(span{r.from - contactTime, r.until}, disturbances)
}

func overlapsAny(s span, spans []span) bool { return slices.ContainsFunc(spans, s.overlaps) }

// forms returns for each form whether a request could have shown it.
var forms = []struct {
	name  string
	could func(d *day, r *request) bool
}{
	{"kept connection", func(d *day, r *request) bool {
		return r.connRequest > 1 && r.sent && !overlapsAny(span{r.from - contactTime, r.from}, d.disturbed)
	}},
	{"SIGTERM", func(d *day, r *request) bool { return r.isCalm(d.unsound) && overlapsAny(r.span, d.stops[r.host]) }},
	{"SIGHUP", func(d *day, r *request) bool { return r.isCalm(d.unsound) && overlapsAny(r.span, d.reloads[r.host]) }},
	{"configuration", func(d *day, r *request) bool { return r.isCalm(d.unsound) && overlapsAny(r.span, d.changes) }},
	{"SIGTERM, silent servers", func(d *day, r *request) bool { return d.besideSilence(r, d.stops[r.host]) }},
	{"SIGHUP, silent servers", func(d *day, r *request) bool { return d.besideSilence(r, d.reloads[r.host]) }},
	{"configuration, silent servers", func(d *day, r *request) bool { return d.besideSilence(r, d.changes) }},
}

// besideSilence reports whether the request was in progress in one of the windows, with
// disturbances of servers only.
func (d *day) besideSilence(r *request, windows []span) bool {
	return r.isCalm(d.disturbed) && !r.isCalm(d.unsound) && overlapsAny(r.span, windows)
}

// write writes a table of the forms.
func (d *day) write(out io.Writer) {
	fmt.Fprintf(out, "| form | could | %s |\n|---|---%s|\n", strings.Join(ends, " | "), strings.Repeat("|---", len(ends)))
	for _, f := range forms {
		total, by := 0, map[string]int{}
		for _, r := range d.requests {
			if f.could(d, &r) {
				total++
				by[r.end()]++
			}
		}
		fmt.Fprintf(out, "| %s | %d", f.name, total)
		for _, e := range ends {
			fmt.Fprintf(out, " | %d", by[e])
		}
		fmt.Fprintln(out, " |")
	}
	fmt.Fprintf(out, "lines %d, tries %d, idle connections closed %d, unused %d, without a handled request %v\n", len(d.requests), d.tries, d.idle, d.unused, d.unhandled)
}

func main() {
	d, err := read(os.Stdin)
	if err != nil {
		log.Fatal(err)
	}
	d.write(os.Stdout)
}
