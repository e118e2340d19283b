package load

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"regexp"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"jackdawtrack.example/jackdawtrack/pkg/result"
	"jackdawtrack.example/jackdawtrack/pkg/standin"
)

const (
	maxLatencyMicros   = int64(MaxDuration / time.Microsecond)
	significantFigures = 3   // decimal precision of latency histograms
	exampleBytes       = 160 // printed bytes of the first response of a stream
)

// classCounts counts the requests of one class by outcome.
type classCounts struct {
	sent, answered, refused, maybeExecuted, truncated, broken, skipped int
	firstByteLatency, totalLatency                                     *hdrhistogram.Histogram // microseconds
	resultCodes                                                        map[result.Code]int
}

// reportedExecutions counts, for the copies of one request, how often the fleet
// reported that the copy was not executed or may have been executed.
type reportedExecutions struct {
	class                      string
	atMostOnce                 bool
	notExecuted, maybeExecuted int
}

// completeResponse identifies a complete response by the SHA-256 sums of the
// request body and the response body.
type completeResponse struct{ request, response string }

// Report collects the responses of a run. It is safe for concurrent use.
type Report struct {
	experiment        *Experiment
	mu                sync.Mutex // guards the fields below
	inFlight          int
	classes           map[string]*classCounts
	firstResponses    map[string]string              // body of the first response of each stream
	completeResponses map[completeResponse]string    // class of each complete response
	requests          map[string]*reportedExecutions // by SHA-256 of the request body
	faults            []string
	executions        []standin.ExecutionRecord
}

func newReport(e *Experiment) *Report {
	return &Report{experiment: e, classes: map[string]*classCounts{}, firstResponses: map[string]string{}, completeResponses: map[completeResponse]string{}, requests: map[string]*reportedExecutions{}}
}

func (r *Report) countsOf(class string) *classCounts {
	counts, ok := r.classes[class]
	if !ok {
		counts = &classCounts{
			firstByteLatency: hdrhistogram.New(1, maxLatencyMicros, significantFigures),
			totalLatency:     hdrhistogram.New(1, maxLatencyMicros, significantFigures),
			resultCodes:      map[result.Code]int{},
		}
		r.classes[class] = counts
	}
	return counts
}

func (r *Report) recordSkipped(a arrival) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.countsOf(a.stream.Class).skipped++
}

func (r *Report) recordSent(a arrival) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.countsOf(a.stream.Class).sent++
	r.inFlight++
}

func (r *Report) recordResponse(a arrival, got response) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inFlight--
	counts := r.countsOf(a.stream.Class)
	counts.resultCodes[got.code]++
	r.recordReportedExecution(a, got)
	if versions := versionsIn(got.bodyText); len(versions) > 1 {
		r.addFault("an answer of class %s was written by versions %s", a.stream.Class, strings.Join(versions, ", "))
	}
	switch {
	case got.status == http.StatusOK && got.completeResponse:
		counts.answered++
		_ = counts.firstByteLatency.RecordValue(got.firstByteLatency.Microseconds()) // bounded by the timeout
		_ = counts.totalLatency.RecordValue(got.totalLatency.Microseconds())
		r.completeResponses[completeResponse{sha256Hex(a.body), got.sha256Hex}] = a.stream.Class
		if _, shown := r.firstResponses[a.stream.Name]; !shown {
			r.firstResponses[a.stream.Name] = got.bodyText
		}
	case got.status == http.StatusOK && got.broken:
		counts.broken++
		if !r.experiment.AllowBroken {
			r.addFault("an answer of class %s broke after %d bytes: %v", a.stream.Class, len(got.bodyText), got.err)
		}
	case got.status == http.StatusOK:
		counts.truncated++
		r.addFault("an answer of class %s was cut after %d bytes", a.stream.Class, len(got.bodyText))
	case got.executed == result.ExecutedNo:
		counts.refused++
	default:
		counts.maybeExecuted++
	}
}

var versionPattern = regexp.MustCompile(`"system_fingerprint":"([^"]*)"`)

// versionsIn returns the software versions that wrote the events of an answer, each
// once and sorted.
func versionsIn(body string) []string {
	var out []string
	for _, match := range versionPattern.FindAllStringSubmatch(body, -1) {
		out = append(out, match[1])
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// recordReportedExecution records whether the fleet reported the request as not
// executed, for the comparison with the execution file. Requests without a body
// are skipped because nothing distinguishes them.
func (r *Report) recordReportedExecution(a arrival, got response) {
	if len(a.body) == 0 {
		return
	}
	key := sha256Hex(a.body)
	reported, ok := r.requests[key]
	if !ok {
		reported = &reportedExecutions{class: a.stream.Class, atMostOnce: a.stream.AtMostOnce}
		r.requests[key] = reported
	}
	if got.executed == result.ExecutedNo {
		reported.notExecuted++
	} else {
		reported.maybeExecuted++
	}
}

func (r *Report) addFault(format string, args ...any) {
	r.faults = append(r.faults, fmt.Sprintf(format, args...))
}

func (r *Report) progressText() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var totals classCounts
	for _, c := range r.classes {
		totals.sent, totals.answered, totals.refused = totals.sent+c.sent, totals.answered+c.answered, totals.refused+c.refused
	}
	return fmt.Sprintf("sent %d, answered %d, refused %d, open %d", totals.sent, totals.answered, totals.refused, r.inFlight)
}

// checkExecutions compares the responses with the execution file. A complete
// response must equal one that a server sent for the same request body, a
// request reported as not executed must not have been executed, and a request of
// an AtMostOnce stream must have been executed at most once. Violations become
// faults; an error means that the file cannot be read.
func (r *Report) checkExecutions() error {
	if r.experiment.ExecutionFile == "" {
		return nil
	}
	executions, err := standin.ReadExecutions(r.experiment.ExecutionFile)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.executions = executions
	executedResponses := map[completeResponse]bool{}
	runs := map[string]int{}
	for _, e := range executions {
		executedResponses[completeResponse{e.BodySHA256, e.AnswerSHA256}] = true
		runs[e.BodySHA256]++
	}
	for pair, class := range r.completeResponses {
		if !executedResponses[pair] {
			r.addFault("an answer of class %s is not what a server sent for its request", class)
		}
	}
	for body, reported := range r.requests {
		switch count := runs[body]; {
		case reported.atMostOnce && count > 1:
			r.addFault("a request of class %s ran %d times", reported.class, count)
		case reported.maybeExecuted == 0 && count > 0:
			r.addFault("a request of class %s ran and was reported as not run", reported.class)
		}
	}
	return nil
}

// Totals returns the number of requests sent and of complete responses.
func (r *Report) Totals() (sent, answered int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.classes {
		sent, answered = sent+c.sent, answered+c.answered
	}
	return sent, answered
}

// Faults describes violations of the fleet's guarantees: truncated responses,
// responses that no server sent, and requests that were executed more often than
// allowed or although they were reported as not executed.
func (r *Report) Faults() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.faults)
}

// Print writes the report as text.
func (r *Report) Print(w io.Writer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(r.firstResponses)) {
		text := r.firstResponses[name]
		fmt.Fprintf(w, "first answer of %s, %d bytes: %.*q\n", name, len(text), exampleBytes, text)
	}
	fmt.Fprintf(w, "\n%-14s %6s %9s %8s %6s %4s %7s %8s %10s %10s %10s\n", "class", "sent", "answered", "refused", "maybe", "cut", "broken", "skipped", "first p50", "first p95", "total p50")
	for _, name := range slices.Sorted(maps.Keys(r.classes)) {
		c := r.classes[name]
		fmt.Fprintf(w, "%-14s %6d %9d %8d %6d %4d %7d %8d %8.1fms %8.1fms %8.1fms\n", name, c.sent, c.answered, c.refused, c.maybeExecuted, c.truncated, c.broken, c.skipped,
			percentileMilliseconds(c.firstByteLatency, 50), percentileMilliseconds(c.firstByteLatency, 95), percentileMilliseconds(c.totalLatency, 50))
	}
	r.printCodes(w)
	r.printExecutions(w)
	for _, f := range r.faults {
		fmt.Fprintf(w, "FAULT %s\n", f)
	}
}

func percentileMilliseconds(h *hdrhistogram.Histogram, percentile float64) float64 {
	return float64(h.ValueAtQuantile(percentile)) / 1000
}

func (r *Report) printCodes(w io.Writer) {
	for _, class := range slices.Sorted(maps.Keys(r.classes)) {
		resultCodes := r.classes[class].resultCodes
		for _, code := range slices.Sorted(maps.Keys(resultCodes)) {
			if code != result.OK {
				fmt.Fprintf(w, "%-14s %6d answers with result %s\n", class, resultCodes[code], code)
			}
		}
	}
}

func (r *Report) printExecutions(w io.Writer) {
	if r.experiment.ExecutionFile == "" {
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
