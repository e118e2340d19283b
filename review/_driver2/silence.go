package main

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	silenceTime = 1400 * time.Millisecond
	// overlapTime is how long, by the rule, the server before may still work on a request that
	// goes on at another one.
	overlapTime = 400 * time.Millisecond
)

func init() { cases["silent-stream"] = silentStream }

// streamConfiguration has one route with streams that may be resumed, as order chats are.
func streamConfiguration(version uint64) string {
	return fmt.Sprintf(`{"version":%d,"routes":[`+
		`{"name":"chat","host":"desk.example","pathPrefix":"/chat/","kind":"streaming","timeoutMs":12000,"targetLatencyMs":300,"priority":1,"service":"models","maxAttempts":2,"public":true,"sticky":true,"streamResume":true,"targetItlMs":200}],`+
		`"services":[{"name":"models","healthPath":"/healthz","maxConnections":370,"protocol":"h1","tls":false,"coldStartS":3.0,"coldPerS":12.0,"engine":{"slots":64,"kvCapacityTokens":629359,"kvTokenBytes":163840,"linkMbps":740000.0,"moves":true,"backups":true,"stride":5,"most":12,"pinMs":4000.0,"holdMs":2000.0,"handleS":5.0,"models":[{"name":"m"}]}}],`+
		`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000,"tokensPerS":250000},"tenants":[]}`, version)
}

// silentStream lets sound engines fall silent for a second or so while they write streams.
func silentStream(d *deployment, trouble bool) (int, error) {
	op := &operator{d}
	var cores []*host
	zones := []string{"vasteras", "orebro", "uppsala"}
	for i, zone := range zones {
		cores = append(cores, d.addHost("core-"+zone+"-1", zone, 11+i, true))
	}
	d.seeds = cores
	edge := d.addHost("front-vasteras-1", "vasteras", 21, false)
	for _, h := range d.hosts {
		if err := d.start(h, true); err != nil {
			return notRun, err
		}
	}
	if !op.order(cores, "PUT", "/jackdawtrack/config", streamConfiguration(1), 10*time.Second) {
		return notRun, errNoAck
	}
	ran := &engineRuns{}
	var engines []*engine
	for i, zone := range zones {
		s, err := startEngine(d, ran, 31+i, zone)
		if err != nil {
			return notRun, err
		}
		defer s.close()
		engines = append(engines, s)
	}
	time.Sleep(2 * contactTime)
	var clients sync.WaitGroup
	for n := 1; n <= 90; n++ {
		clients.Add(1)
		go func() {
			defer clients.Done()
			readStream(d, edge, fmt.Sprintf("s%d", n), fmt.Sprintf("s%d", n), 0, streamDeadline)
		}()
		if trouble && n%30 == 0 {
			engines[n/30-1].fallSilent(silenceTime)
		}
		time.Sleep(200 * time.Millisecond)
	}
	clients.Wait()
	time.Sleep(time.Second)
	if overlaps := findOverlaps(d, ran); overlaps > 0 {
		d.rec.add("streams that went on at another engine while the engine before still worked on them %s later: %d", overlapTime, overlaps)
		return broken, nil
	}
	return held, nil
}

// answer is what a client got of one try.
type answer struct {
	status     int
	body       string
	whole      bool
	retryAfter time.Duration
}

// events returns the number of whole events.
func (a *answer) events() int { return strings.Count(a.body, "\n\n") }

// streamDeadline is how long a client waits for a stream, with all its tries.
const streamDeadline = 12 * time.Second

// wholeEvents returns a stream up to its last whole event.
func wholeEvents(body string) string {
	end := strings.LastIndex(body, "\n\n")
	if end < 0 {
		return ""
	}
	return body[:end+2]
}

// readStream sends a request for the stream with the id, under the id of a try of a client that
// waits for so long. It goes on after an event if last is greater than 0.
func readStream(d *deployment, edge *host, id, try string, last int, wait time.Duration) (a answer) {
	req, _ := http.NewRequest("POST", "http://"+d.address(edge)+"/chat/"+id, strings.NewReader(strings.Repeat("p", 830)))
	req.Host = "desk.example"
	req.Header.Set("Jackdawtrack-Request-Id", try)
	req.Header.Set("Jackdawtrack-Deadline-Ms", strconv.FormatInt(wait.Milliseconds(), 10))
	req.Header.Set("Jackdawtrack-Model", "m")
	req.Header.Set("Jackdawtrack-Token-Count", "826,300")
	req.Header.Set("Jackdawtrack-Prompt-Prefix", fmt.Sprintf("5c1e07a2:119,91bd3f06:79,%x:628", id))
	if last > 0 {
		req.Header.Set("Last-Event-Id", strconv.Itoa(last))
		req.Header.Set("Resumes", id)
	}
	d.rec.add("client sends %s to %s, after event %d", try, edge.name, last)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		d.rec.add("client: %s: %v", try, short(err.Error()))
		return a
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if resp.StatusCode == http.StatusOK {
		a.body = wholeEvents(string(body))
	}
	seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	a.status, a.whole, a.retryAfter = resp.StatusCode, err == nil && resp.StatusCode == http.StatusOK, time.Duration(seconds*float64(time.Second))
	d.rec.add("client: %s: %d, %d events, error %v", try, a.status, a.events(), err)
	return a
}

// findOverlaps counts the runs that began after an event of an earlier run of the same request
// at another engine, which worked on it for longer than overlapTime after that.
func findOverlaps(d *deployment, r *engineRuns) (count int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, second := range r.all {
		if second.lastEventID == "" {
			continue
		}
		for _, first := range r.all {
			if first.id != second.id || first.engine == second.engine || !first.from.Before(second.from) {
				continue
			}
			overlap := time.Since(second.from)
			if !first.to.IsZero() {
				overlap = first.to.Sub(second.from)
			}
			if overlap > overlapTime {
				count++
				d.rec.add("%s went on at %s after event %s; %s worked on it for %s more", second.id, second.engine, second.lastEventID, first.engine, overlap.Round(time.Millisecond))
			}
		}
	}
	return count
}
