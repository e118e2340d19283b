package edge

import (
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"jackdawtrack.example/jackdawtrack/pkg/dispatch"
	"jackdawtrack.example/jackdawtrack/pkg/routing"
)

// Guards against a request at a silent server whose line does not tell why no second
// server was asked.
func TestReasonForNoSecondAttemptIsRecorded(t *testing.T) {
	for _, c := range []struct {
		reason dispatch.Reason
		change func(h *hedge)
	}{
		{"", func(*hedge) {}},
		{reasonOnce, func(h *hedge) { h.mayRepeat = false }},
		{reasonAttempts, func(h *hedge) { h.x.route.MaxAttempts = 1 }},
		{reasonUnsent, func(h *hedge) { h.unsent = maxUnsentAttempts }},
		{reasonNotResumed, func(h *hedge) { h.began = true }},
		{reasonNotResumed, func(h *hedge) {
			h.began, h.lastEventID = true, "1"
			h.x.route.RetryPolicy = routing.Idempotent
		}},
		{reasonRelease, func(h *hedge) { h.began, h.lastEventID = true, "1" }},
		{reasonRetryBudget, func(h *hedge) { h.x.s.retryBudget = newRetryBudget(RetryBudget{}) }},
		{reasonTooLate, func(h *hedge) {
			h.x.in.dest = &destination{route: h.x.route}
			h.x.s.answerAt.Store(new(time.Time))
		}},
		{reasonNoPlace, func(h *hedge) { h.x.s.dispatcher.SetServers(time.Now(), nil) }},
	} {
		h, _, arrived := newSilentHedge(t)
		h.x.s.metrics = newMetrics(metrics.NewRegistry())
		c.change(h)
		asked := make(chan struct{})
		go func() { h.tryReplace(); close(asked) }()
		select {
		case <-arrived:
		case <-asked:
		}
		h.close(false)
		assert.Equal(t, h.x.secondRefusal, c.reason)
		h.x.recordSecondRefusal()
		counts := map[string]int64{}
		h.x.s.metrics.registry.Each(func(name string, m any) {
			if n, ok := m.(metrics.Counter); ok && n.Count() > 0 {
				counts[name] = n.Count()
			}
		})
		want := map[string]int64{}
		if c.reason != "" {
			want[secondRefusalMetrics[c.reason]] = 1
		}
		assert.DeepEqual(t, counts, want)
	}
}
