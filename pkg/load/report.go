package load

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"jackdawtrack.example/jackdawtrack/pkg/result"
	"jackdawtrack.example/jackdawtrack/pkg/standin"
)

const (
	highestLatency = int64(MaxDuration / time.Microsecond)
	figures        = 3 // significant decimal figures of latencies
	shownBytes     = 160
)

// tally counts the requests of one class.
type tally struct {
	sent, answered, refused, maybe, cut, broken, skipped int
	firstByte, total                                     *hdrhistogram.Histogram // microseconds
	codes                                                map[result.Code]int
}

// outcome counts what became of the copies of one request.
type outcome struct {
	class          string
	once           bool
	refused, other int
}

// whole is a whole answer: SHA-256 of the request body and of the answer.
type whole struct{ request, answer string }

// Report collects the answers of a run. It is safe for concurrent use.
type Report struct {
	experiment *Experiment
	mu         sync.Mutex // guards all below
	open       int
	classes    map[string]*tally
	examples   map[string]string   // first answer of each stream
	wholes     map[whole]string    // class of each whole answer
	requests   map[string]*outcome // by SHA-256 of the request body
	faults     []string
	executions []standin.Execution
}

func newReport(e *Experiment) *Report {
	return &Report{experiment: e, classes: map[string]*tally{}, examples: map[string]string{}, wholes: map[whole]string{}, requests: map[string]*outcome{}}
}

func (r *Report) class(name string) *tally {
	c, ok := r.classes[name]
	if !ok {
		c = &tally{
			firstByte: hdrhistogram.New(1, highestLatency, figures),
			total:     hdrhistogram.New(1, highestLatency, figures),
			codes:     map[result.Code]int{},
		}
		r.classes[name] = c
	}
	return c
}

func (r *Report) skip(a arrival) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.class(a.stream.Class).skipped++
}

func (r *Report) begin(a arrival) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.class(a.stream.Class).sent++
	r.open++
}

func (r *Report) end(a arrival, got answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.open--
	c := r.class(a.stream.Class)
	c.codes[got.code]++
	r.note(a, got)
	switch {
	case got.status == http.StatusOK && got.whole:
		c.answered++
		_ = c.firstByte.RecordValue(got.firstByte.Microseconds()) // bounded by the timeout
		_ = c.total.RecordValue(got.total.Microseconds())
		r.wholes[whole{sum(a.body), got.sum}] = a.stream.Class
		if _, shown := r.examples[a.stream.Name]; !shown {
			r.examples[a.stream.Name] = got.text
		}
	case got.status == http.StatusOK && got.broken:
		c.broken++
		if !r.experiment.MayBreak {
			r.fault("an answer of class %s broke after %d bytes: %v", a.stream.Class, len(got.text), got.err)
		}
	case got.status == http.StatusOK:
		c.cut++
		r.fault("an answer of class %s was cut after %d bytes", a.stream.Class, len(got.text))
	case got.executed == result.ExecutedNo:
		c.refused++
	default:
		c.maybe++
	}
}

// note keeps what the execution file is checked against. Requests without a
// body cannot be told apart.
func (r *Report) note(a arrival, got answer) {
	if len(a.body) == 0 {
		return
	}
	key := sum(a.body)
	o, ok := r.requests[key]
	if !ok {
		o = &outcome{class: a.stream.Class, once: a.stream.Once}
		r.requests[key] = o
	}
	if got.executed == result.ExecutedNo {
		o.refused++
	} else {
		o.other++
	}
}

func (r *Report) fault(format string, args ...any) {
	r.faults = append(r.faults, fmt.Sprintf(format, args...))
}

func (r *Report) progress() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var t tally
	for _, c := range r.classes {
		t.sent, t.answered, t.refused = t.sent+c.sent, t.answered+c.answered, t.refused+c.refused
	}
	return fmt.Sprintf("sent %d, answered %d, refused %d, open %d", t.sent, t.answered, t.refused, r.open)
}

// readExecutions compares the answers with the execution file: whole answers
// must be what a server sent for the same request body, requests refused as not run must not have run,
// and requests of streams marked once must have run at most once.
func (r *Report) readExecutions() error {
	if r.experiment.Executions == "" {
		return nil
	}
	executions, err := standin.ReadExecutions(r.experiment.Executions)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.executions = executions
	sent := map[whole]bool{}
	runs := map[string]int{}
	for _, e := range executions {
		sent[whole{e.BodySHA256, e.AnswerSHA256}] = true
		runs[e.BodySHA256]++
	}
	for w, class := range r.wholes {
		if !sent[w] {
			r.fault("an answer of class %s is not what a server sent for its request", class)
		}
	}
	for body, o := range r.requests {
		switch count := runs[body]; {
		case o.once && count > 1:
			r.fault("a request of class %s ran %d times", o.class, count)
		case o.other == 0 && count > 0:
			r.fault("a request of class %s ran and was reported as not run", o.class)
		}
	}
	return nil
}

// Totals returns the number of requests that were sent and that were answered.
func (r *Report) Totals() (sent, answered int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.classes {
		sent, answered = sent+c.sent, answered+c.answered
	}
	return sent, answered
}

// Faults returns what no run may show: cut answers, answers that no server
// sent, requests that ran more often than allowed or than reported.
func (r *Report) Faults() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.faults)
}

// Print writes the summary.
func (r *Report) Print(w io.Writer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(r.examples)) {
		text := r.examples[name]
		fmt.Fprintf(w, "first answer of %s, %d bytes: %.*q\n", name, len(text), shownBytes, text)
	}
	fmt.Fprintf(w, "\n%-14s %6s %9s %8s %6s %4s %7s %8s %10s %10s %10s\n", "class", "sent", "answered", "refused", "maybe", "cut", "broken", "skipped", "first p50", "first p95", "total p50")
	for _, name := range slices.Sorted(maps.Keys(r.classes)) {
		c := r.classes[name]
		fmt.Fprintf(w, "%-14s %6d %9d %8d %6d %4d %7d %8d %8.1fms %8.1fms %8.1fms\n", name, c.sent, c.answered, c.refused, c.maybe, c.cut, c.broken, c.skipped,
			milliseconds(c.firstByte, 50), milliseconds(c.firstByte, 95), milliseconds(c.total, 50))
	}
	r.printCodes(w)
	r.printExecutions(w)
	for _, f := range r.faults {
		fmt.Fprintf(w, "FAULT %s\n", f)
	}
}

func milliseconds(h *hdrhistogram.Histogram, percentile float64) float64 {
	return float64(h.ValueAtQuantile(percentile)) / 1000
}

func (r *Report) printCodes(w io.Writer) {
	for _, name := range slices.Sorted(maps.Keys(r.classes)) {
		codes := r.classes[name].codes
		for _, code := range slices.Sorted(maps.Keys(codes)) {
			if code != result.OK {
				fmt.Fprintf(w, "%-14s %6d answers with result %s\n", name, codes[code], code)
			}
		}
	}
}

func (r *Report) printExecutions(w io.Writer) {
	if r.experiment.Executions == "" {
		return
	}
	service := map[string]uint64{}
	keys := map[string]int{}
	outcomes := map[string]int{}
	for _, e := range r.executions {
		service[e.Workspace] += e.Cost
		outcomes[e.Outcome]++
		if e.IdempotencyKey != "" {
			keys[e.IdempotencyKey]++
		}
	}
	fmt.Fprintf(w, "\nexecutions: %d", len(r.executions))
	for _, name := range slices.Sorted(maps.Keys(outcomes)) {
		fmt.Fprintf(w, ", %s %d", name, outcomes[name])
	}
	once := 0
	for _, count := range keys {
		if count == 1 {
			once++
		}
	}
	fmt.Fprintf(w, "\nkeys executed: %d, exactly once: %d\n", len(keys), once)
	for _, name := range slices.Sorted(maps.Keys(service)) {
		fmt.Fprintf(w, "service of workspace %-12s %10d units\n", name, service[name])
	}
}
