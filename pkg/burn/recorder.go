package burn

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Windows are the windows of a report, shortest first.
var Windows = [...]time.Duration{5 * time.Minute, time.Hour, 6 * time.Hour}

const (
	// maxSeries limits the pairs of class and workspace that a router tracks.
	// Further pairs are counted under OtherWorkspaces of their class.
	maxSeries = 60_000

	// OtherWorkspaces stands for all workspaces beyond maxSeries.
	OtherWorkspaces = "(other)"

	histogramLowest    = 1              // ms
	histogramHighest   = 10 * 60 * 1000 // ms
	histogramDigits    = 2              // significant decimal digits
	intervalsPerWindow = 2              // the current and the previous one
	noInterval         = -(1 << 62)     // interval number before the first request
)

// requestCount counts the requests of one interval of a window.
type requestCount struct {
	total  uint32
	missed [len(Causes)]uint32
}

// window counts two intervals of the window's length. The sliding count is the
// current interval plus the part of the previous one that the window still
// covers.
type window struct {
	interval int64
	current  requestCount
	previous requestCount
}

type series [len(Windows)]window

type seriesKey struct{ class, workspace string }

type latencyWindow struct {
	interval   int64
	histograms [intervalsPerWindow]*hdrhistogram.Histogram
}

// Recorder counts the requests of one router. It is safe for concurrent use.
type Recorder struct {
	router    string
	startedAt time.Time

	mu        sync.Mutex // guards the fields below; held only to update maps and counters
	series    map[seriesKey]*series
	latencies map[string]*[len(Windows)]latencyWindow
	targets   map[string]Target
}

// NewRecorder returns an empty Recorder whose data starts at now.
func NewRecorder(router string, now time.Time) *Recorder {
	return &Recorder{
		router:    router,
		startedAt: now,
		series:    make(map[seriesKey]*series),
		latencies: make(map[string]*[len(Windows)]latencyWindow),
		targets:   make(map[string]Target),
	}
}

// Record counts one finished request.
func (r *Recorder) Record(now time.Time, s RequestSample) {
	v := Evaluate(s)
	if !v.Counted {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.targets[s.Class.Name] = targetOf(s.Class)
	r.getOrCreateSeries(seriesKey{s.Class.Name, s.Workspace}).add(now, v)
	if s.FirstByte > 0 {
		r.recordLatency(now, s.Class.Name, s.FirstByte)
	}
}

func (r *Recorder) getOrCreateSeries(k seriesKey) *series {
	if s, ok := r.series[k]; ok {
		return s
	}
	if len(r.series) >= maxSeries {
		k.workspace = OtherWorkspaces
		if s, ok := r.series[k]; ok {
			return s
		}
	}
	s := new(series)
	for i := range s {
		s[i].interval = noInterval
	}
	r.series[k] = s
	return s
}

func (s *series) add(now time.Time, v Evaluation) {
	for i := range s {
		w := &s[i]
		w.advance(intervalOf(now, Windows[i]))
		w.current.add(v)
	}
}

func (t *requestCount) add(v Evaluation) {
	t.total++
	if !v.Missed {
		return
	}
	for i, c := range Causes {
		if c == v.Cause {
			t.missed[i]++
		}
	}
}

func intervalOf(now time.Time, length time.Duration) int64 {
	return now.UnixNano() / int64(length)
}

// advance moves the window to the given interval.
func (w *window) advance(interval int64) {
	switch {
	case w.interval == interval:
		return
	case w.interval == interval-1:
		w.previous = w.current
	default:
		w.previous = requestCount{}
	}
	w.current = requestCount{}
	w.interval = interval
}

func (r *Recorder) recordLatency(now time.Time, name string, d time.Duration) {
	all, ok := r.latencies[name]
	if !ok {
		all = new([len(Windows)]latencyWindow)
		for i := range all {
			all[i] = newLatencyWindow()
		}
		r.latencies[name] = all
	}
	ms := min(max(d.Milliseconds(), histogramLowest), histogramHighest)
	for i := range all {
		all[i].advance(intervalOf(now, Windows[i]))
		// RecordValue fails only for values out of range, and ms is clamped.
		_ = all[i].histograms[0].RecordValue(ms)
	}
}

func newLatencyWindow() latencyWindow {
	l := latencyWindow{interval: noInterval}
	for i := range l.histograms {
		l.histograms[i] = hdrhistogram.New(histogramLowest, histogramHighest, histogramDigits)
	}
	return l
}

func (l *latencyWindow) advance(interval int64) {
	if l.interval == interval {
		return
	}
	l.histograms[0], l.histograms[1] = l.histograms[1], l.histograms[0]
	l.histograms[0].Reset()
	if l.interval != interval-1 {
		l.histograms[1].Reset()
	}
	l.interval = interval
}
