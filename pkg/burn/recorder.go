package burn

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Windows of the report.
var Windows = [...]time.Duration{5 * time.Minute, time.Hour, 6 * time.Hour}

const (
	// maxKeys bounds the pairs of class and workspace that a router tracks;
	// further pairs are counted together under OtherWorkspaces.
	maxKeys = 60_000

	// OtherWorkspaces stands for all workspaces beyond the bound.
	OtherWorkspaces = "(other)"

	histogramLowest  = 1              // ms
	histogramHighest = 10 * 60 * 1000 // ms
	histogramDigits  = 2              // significant decimal digits
	halves           = 2              // current and previous interval of a window
	firstInterval    = -(1 << 62)     // no interval yet
)

// tally counts requests of one window interval.
type tally struct {
	total  uint32
	missed [len(Causes)]uint32
}

// window holds two intervals; the sliding count is the current one plus the
// part of the previous one that the window still covers.
type window struct {
	interval int64
	current  tally
	previous tally
}

type series [len(Windows)]window

type key struct{ class, workspace string }

type latency struct {
	interval int64
	parts    [halves]*hdrhistogram.Histogram
}

// Recorder counts the requests of one router. It is safe for concurrent use.
type Recorder struct {
	router string
	since  time.Time

	mu        sync.Mutex // guards all below; held only for map and counter updates
	series    map[key]*series
	latencies map[string]*[len(Windows)]latency
	classes   map[string]Target
}

// NewRecorder returns an empty Recorder that covers the time from now on.
func NewRecorder(router string, now time.Time) *Recorder {
	return &Recorder{
		router:    router,
		since:     now,
		series:    make(map[key]*series),
		latencies: make(map[string]*[len(Windows)]latency),
		classes:   make(map[string]Target),
	}
}

// Record counts one finished request.
func (r *Recorder) Record(now time.Time, s Sample) {
	v := Judge(s)
	if !v.Counted {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.classes[s.Class.Name] = targetOf(s.Class)
	r.seriesOf(key{s.Class.Name, s.Workspace}).add(now, v)
	if s.FirstByte > 0 {
		r.recordLatency(now, s.Class.Name, s.FirstByte)
	}
}

func (r *Recorder) seriesOf(k key) *series {
	if s, ok := r.series[k]; ok {
		return s
	}
	if len(r.series) >= maxKeys {
		k.workspace = OtherWorkspaces
		if s, ok := r.series[k]; ok {
			return s
		}
	}
	s := new(series)
	for i := range s {
		s[i].interval = firstInterval
	}
	r.series[k] = s
	return s
}

func (s *series) add(now time.Time, v Verdict) {
	for i := range s {
		w := &s[i]
		w.roll(intervalOf(now, Windows[i]))
		w.current.add(v)
	}
}

func (t *tally) add(v Verdict) {
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

// roll moves the window to the interval of the present time.
func (w *window) roll(interval int64) {
	switch {
	case w.interval == interval:
		return
	case w.interval == interval-1:
		w.previous = w.current
	default:
		w.previous = tally{}
	}
	w.current = tally{}
	w.interval = interval
}

func (r *Recorder) recordLatency(now time.Time, name string, d time.Duration) {
	all, ok := r.latencies[name]
	if !ok {
		all = new([len(Windows)]latency)
		for i := range all {
			all[i] = newLatency()
		}
		r.latencies[name] = all
	}
	ms := min(max(d.Milliseconds(), histogramLowest), histogramHighest)
	for i := range all {
		all[i].roll(intervalOf(now, Windows[i]))
		// The value is clamped to the range of the histogram, the only error.
		_ = all[i].parts[0].RecordValue(ms)
	}
}

func newLatency() latency {
	l := latency{interval: firstInterval}
	for i := range l.parts {
		l.parts[i] = hdrhistogram.New(histogramLowest, histogramHighest, histogramDigits)
	}
	return l
}

func (l *latency) roll(interval int64) {
	if l.interval == interval {
		return
	}
	l.parts[0], l.parts[1] = l.parts[1], l.parts[0]
	l.parts[0].Reset()
	if l.interval != interval-1 {
		l.parts[1].Reset()
	}
	l.interval = interval
}
