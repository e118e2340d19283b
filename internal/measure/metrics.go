package measure

import (
	"fmt"
	"io"
	"time"

	"google.golang.org/protobuf/reflect/protoreflect"

	"jackdawtrack.example/jackdawtrack/pkg/pool"
)

// metrics collects what a run shows.
type metrics struct {
	measuring bool
	from      time.Time
	bytes     map[string]int            // sent by each router
	kinds     map[protoreflect.Name]int // payload bytes by message
	waiting   map[string]int            // by pool
	used      float64
	most      float64

	strict, met   int // classes that may not wait
	refusals      map[string]int
	served        int
	cut           int
	coldOverloads int
	hits, lookups int
	maxWaitSmall  time.Duration

	isOut       bool
	outDC       int
	leftAt      map[string]time.Time // servers that may receive no new work
	lastNewWork time.Duration
	lateNewWork int
	missed      map[string]int
	history     [][]float64 // served units per sample and workspace
}

func newMetrics() *metrics {
	return &metrics{bytes: map[string]int{}, kinds: map[protoreflect.Name]int{}, waiting: map[string]int{}, refusals: map[string]int{}, missed: map[string]int{}, leftAt: map[string]time.Time{}}
}

func (m *metrics) begin(f *fleet) {
	f.accountUse()
	m.measuring, m.from = true, f.now
	m.bytes, m.kinds = map[string]int{}, map[protoreflect.Name]int{}
}

func (m *metrics) asked(q *request) {
	q.f.accountUse()
	m.waiting[q.pool]++
	q.asked = q.f.now
}

func (m *metrics) dispatched(q *request) {
	m.waiting[q.pool]--
	q.workspace.served += float64(q.cost())
	if w := q.f.now.Sub(q.arrived); m.measuring && q.workspace.small {
		m.maxWaitSmall = max(m.maxWaitSmall, w)
	}
	if since, out := m.leftAt[q.server.name]; out {
		after := q.f.now.Sub(since)
		m.lastNewWork = max(m.lastNewWork, after)
		if after > 3*time.Second {
			m.lateNewWork++
		}
	}
}

func (m *metrics) undo(q *request) { q.workspace.served -= float64(q.cost()) }

func (m *metrics) counts(q *request) bool {
	return m.measuring && !q.class.MayWait && !q.arrived.Before(m.from) && q.workspace.small
}

func (m *metrics) refused(q *request, x pool.Refusal) {
	m.waiting[q.pool]--
	m.refusals[x.Code.String()]++
	if m.counts(q) {
		m.strict++
		m.missed["refused "+q.class.Name]++
	}
	if w := q.f.now.Sub(q.arrived); m.measuring && q.workspace.small && q.class.MayWait {
		m.maxWaitSmall = max(m.maxWaitSmall, w)
	}
}

func (m *metrics) done(q *request, s pool.Settle) {
	m.served++
	if !m.counts(q) {
		return
	}
	m.strict++
	start := q.first.Sub(q.arrived)
	if q.work.service {
		start = q.f.now.Sub(q.arrived)
	}
	slow := q.class.TokenInterval > 0 && s.TokenInterval > q.class.TokenInterval
	if start <= q.class.ResponseTarget() && !slow {
		m.met++
	} else if slow {
		m.missed["slow "+q.class.Name]++
	} else {
		m.missed["late "+q.class.Name]++
	}
}

// gap returns the greatest difference of the service of two workspaces over
// any part of the run in which both were backlogged.
func (m *metrics) gap(numbers []int) float64 {
	var worst float64
	for i, a := range numbers {
		for _, b := range numbers[i+1:] {
			low, high := 0.0, 0.0
			for k, h := range m.history {
				d := h[a] - h[b] - (m.history[0][a] - m.history[0][b])
				if k == 0 {
					continue
				}
				low, high = min(low, d), max(high, d)
			}
			worst = max(worst, high-low)
		}
	}
	return worst
}

func (m *metrics) targetsMet() float64 {
	if m.strict == 0 {
		return 1
	}
	return float64(m.met) / float64(m.strict)
}

func (m *metrics) utilisation() float64 {
	if m.most == 0 {
		return 1
	}
	return m.used / m.most
}

// membershipRate is what a router sends for membership in bytes a second at any
// number of routers, as 'make capacity' measures it. The bench has a membership
// of its own that sends nothing.
const membershipRate = 248

// control returns the greatest rate of control bytes that one router sent.
func (m *metrics) control(now time.Time) float64 {
	worst := 0
	for _, b := range m.bytes {
		worst = max(worst, b)
	}
	return membershipRate + float64(worst)/now.Sub(m.from).Seconds()
}

// figure is one line of output.
type figure struct {
	deployment, scenario, name string
	value                      float64
	unit                       string
	bound                      float64
	atLeast                    bool
}

func (g figure) ok() bool {
	if g.atLeast {
		return g.value >= g.bound
	}
	return g.value <= g.bound
}

func (g figure) write(w io.Writer) {
	verdict, sign := "ok", "<="
	if g.atLeast {
		sign = ">="
	}
	if !g.ok() {
		verdict = "MISSED"
	}
	fmt.Fprintf(w, "measure %s %s %s %.4g %s target %s%.4g %s\n", g.deployment, g.scenario, g.name, g.value, g.unit, sign, g.bound, verdict)
}
