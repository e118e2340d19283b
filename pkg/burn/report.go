package burn

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"jackdawtrack.example/jackdawtrack/pkg/class"
	"jackdawtrack.example/jackdawtrack/pkg/result"
)

// Target is the service level target of a class.
type Target struct {
	FirstTokenMS    int64   `json:"first_token_ms,omitempty"`
	TokenIntervalMS int64   `json:"token_interval_ms,omitempty"`
	AnswerMS        int64   `json:"answer_ms,omitempty"`
	Objective       float64 `json:"objective"`
}

func targetOf(c class.Class) Target {
	return Target{
		FirstTokenMS:    c.FirstToken.Milliseconds(),
		TokenIntervalMS: c.TokenInterval.Milliseconds(),
		AnswerMS:        c.Answer.Milliseconds(),
		Objective:       c.Objective,
	}
}

// Count is the number of requests and misses in one window.
type Count struct {
	Total  float64           `json:"total"`
	Missed map[Cause]float64 `json:"missed,omitempty"`
}

// Row holds the counts of one class and workspace, one entry for each of
// Windows.
type Row struct {
	Class     string  `json:"class"`
	Workspace string  `json:"workspace"`
	Counts    []Count `json:"counts"`
}

// Source describes the router behind a part of the report and since when it has
// data. Routers keep no data across a restart.
type Source struct {
	Router string    `json:"router"`
	Since  time.Time `json:"since"`
	Error  string    `json:"error,omitempty"` // why the router did not report
}

// Report is the report of one router, or of several after Merge.
type Report struct {
	At        time.Time           `json:"at"`
	Sources   []Source            `json:"sources"`
	Targets   map[string]Target   `json:"targets"`
	Rows      []Row               `json:"rows"`
	Latencies map[string][][]byte `json:"first_byte_ms"` // per class and window, HdrHistogram V2 compressed
}

// Report returns the current counts. If a histogram cannot be encoded, which
// does not happen with the histograms of this package, it returns an
// InvalidRequest error.
func (r *Recorder) Report(now time.Time) (*Report, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := &Report{
		At:        now,
		Sources:   []Source{{Router: r.router, Since: r.startedAt}},
		Targets:   make(map[string]Target, len(r.targets)),
		Latencies: make(map[string][][]byte, len(r.latencies)),
	}
	for name, target := range r.targets {
		out.Targets[name] = target
	}
	for k, s := range r.series {
		out.Rows = append(out.Rows, s.row(now, k))
	}
	for name, all := range r.latencies {
		encoded, err := encodeLatencies(now, all)
		if err != nil {
			return nil, err
		}
		out.Latencies[name] = encoded
	}
	out.sortRows()
	return out, nil
}

func (s *series) row(now time.Time, k seriesKey) Row {
	row := Row{Class: k.class, Workspace: k.workspace}
	for i := range s {
		row.Counts = append(row.Counts, s[i].count(now, Windows[i]))
	}
	return row
}

// count estimates the number of requests in the sliding window: the current
// interval plus the part of the previous one that the window still covers.
func (w *window) count(now time.Time, length time.Duration) Count {
	advanced := *w
	advanced.advance(intervalOf(now, length))
	elapsed := time.Duration(now.UnixNano() % int64(length))
	previousShare := 1 - float64(elapsed)/float64(length)
	c := Count{Total: float64(advanced.current.total) + previousShare*float64(advanced.previous.total)}
	for i, cause := range Causes {
		n := float64(advanced.current.missed[i]) + previousShare*float64(advanced.previous.missed[i])
		if n == 0 {
			continue
		}
		if c.Missed == nil {
			c.Missed = make(map[Cause]float64, len(Causes))
		}
		c.Missed[cause] = n
	}
	return c
}

func encodeLatencies(now time.Time, all *[len(Windows)]latencyWindow) ([][]byte, error) {
	var out [][]byte
	for i := range all {
		all[i].advance(intervalOf(now, Windows[i]))
		sum := hdrhistogram.New(histogramLowest, histogramHighest, histogramDigits)
		for _, part := range all[i].histograms {
			sum.Merge(part)
		}
		encoded, err := sum.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
		if err != nil {
			return nil, result.Wrap(result.InvalidRequest, err, "histogram cannot be encoded")
		}
		out = append(out, encoded)
	}
	return out, nil
}

// Merge adds up the reports of several routers. It returns an InvalidRequest
// error if a histogram cannot be decoded.
func Merge(reports []*Report) (*Report, error) {
	sum := &Report{Targets: map[string]Target{}, Latencies: map[string][][]byte{}}
	rows := map[seriesKey]*Row{}
	for _, r := range reports {
		if r.At.After(sum.At) {
			sum.At = r.At
		}
		sum.Sources = append(sum.Sources, r.Sources...)
		for name, target := range r.Targets {
			sum.Targets[name] = target
		}
		for _, row := range r.Rows {
			addRow(rows, row)
		}
		for name, parts := range r.Latencies {
			merged, err := mergeLatencies(sum.Latencies[name], parts)
			if err != nil {
				return nil, err
			}
			sum.Latencies[name] = merged
		}
	}
	for _, row := range rows {
		sum.Rows = append(sum.Rows, *row)
	}
	sum.sortRows()
	return sum, nil
}

func addRow(rows map[seriesKey]*Row, row Row) {
	k := seriesKey{row.Class, row.Workspace}
	sum, ok := rows[k]
	if !ok {
		sum = &Row{Class: row.Class, Workspace: row.Workspace, Counts: make([]Count, len(Windows))}
		rows[k] = sum
	}
	for i := range sum.Counts {
		if i < len(row.Counts) {
			sum.Counts[i] = sum.Counts[i].add(row.Counts[i])
		}
	}
}

func (c Count) add(o Count) Count {
	sum := Count{Total: c.Total + o.Total}
	for _, cause := range Causes {
		if n := c.Missed[cause] + o.Missed[cause]; n > 0 {
			if sum.Missed == nil {
				sum.Missed = make(map[Cause]float64, len(Causes))
			}
			sum.Missed[cause] = n
		}
	}
	return sum
}

func mergeLatencies(base, added [][]byte) ([][]byte, error) {
	if base == nil {
		return added, nil
	}
	out := make([][]byte, 0, len(base))
	for i := range base {
		if i >= len(added) {
			out = append(out, base[i])
			continue
		}
		merged, err := mergeEncoded(base[i], added[i])
		if err != nil {
			return nil, result.Wrap(result.InvalidRequest, err, "histogram of a router cannot be decoded")
		}
		out = append(out, merged)
	}
	return out, nil
}

func mergeEncoded(a, b []byte) ([]byte, error) {
	x, err := hdrhistogram.Decode(a)
	if err != nil {
		return nil, err
	}
	y, err := hdrhistogram.Decode(b)
	if err != nil {
		return nil, err
	}
	x.Merge(y)
	return x.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
}

func (r *Report) sortRows() {
	slices.SortFunc(r.Rows, func(a, b Row) int {
		return cmp.Or(cmp.Compare(a.Class, b.Class), cmp.Compare(a.Workspace, b.Workspace))
	})
	slices.SortFunc(r.Sources, func(a, b Source) int { return cmp.Compare(a.Router, b.Router) })
}

// MissedTotal returns the number of missed requests.
func (c Count) MissedTotal() float64 {
	sum := 0.0
	for _, n := range c.Missed {
		sum += n
	}
	return sum
}

// MetRatio returns the ratio of requests that met the target, 1 without
// requests.
func (c Count) MetRatio() float64 {
	if c.Total == 0 {
		return 1
	}
	return 1 - c.MissedTotal()/c.Total
}

// BurnRate returns the burn rate: 1 uses exactly the error budget, 0 uses none of
// it.
func (c Count) BurnRate(objective float64) float64 {
	budget := 1 - objective
	if budget <= 0 || c.Total == 0 {
		return 0
	}
	return (1 - c.MetRatio()) / budget
}

// MainCause returns the cause with the most misses, "" without misses.
func (c Count) MainCause() Cause {
	var main Cause
	most := 0.0
	for _, cause := range Causes {
		if n := c.Missed[cause]; n > most {
			main, most = cause, n
		}
	}
	return main
}

// ByClass sums the rows of each class, sorted by class name.
func (r *Report) ByClass() []Row {
	sums := map[seriesKey]*Row{}
	for _, row := range r.Rows {
		row.Workspace = ""
		addRow(sums, row)
	}
	var out []Row
	for _, row := range sums {
		out = append(out, *row)
	}
	slices.SortFunc(out, func(a, b Row) int { return cmp.Compare(a.Class, b.Class) })
	return out
}

// FirstByteQuantile returns the quantile q, from 0 to 1, of the time to first
// byte of a class in ms, and false if the window has no answers.
func (r *Report) FirstByteQuantile(name string, window int, q float64) (float64, bool) {
	parts := r.Latencies[name]
	if window >= len(parts) {
		return 0, false
	}
	h, err := hdrhistogram.Decode(parts[window])
	if err != nil || h.TotalCount() == 0 {
		return math.NaN(), false
	}
	return float64(h.ValueAtQuantile(100 * q)), true
}

// Coverage returns the fraction of the window for which the source has data.
func (r *Report) Coverage(s Source, window time.Duration) float64 {
	covered := r.At.Sub(s.Since)
	return min(1, max(0, float64(covered)/float64(window)))
}
