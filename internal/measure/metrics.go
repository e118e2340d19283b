package measure

import (
	"fmt"
	"io"
	"time"

	"google.golang.org/protobuf/reflect/protoreflect"

	"jackdawtrack.example/jackdawtrack/pkg/pool"
)

// metricsRecorder collects the data of one run.
type metricsRecorder struct {
	measuring     bool // false while the fleet warms up
	measuredSince time.Time
	sentBytes     map[string]int            // control bytes by router name
	payloadBytes  map[protoreflect.Name]int // by message type
	waiting       map[string]int            // waiting requests by pool
	used          float64                   // tokens generated while requests waited
	available     float64                   // tokens that the engines in service could have generated in that time

	targetRequests, metTargets int            // requests that count toward targets_met, and those of them that met their targets
	refusals                   map[string]int // by result code
	completedRequests          int
	cutAnswers                 int // answers cut by a decision of the fleet
	coldOverloads              int // crashes of cold engines with too many running requests
	prefixHits, prefixLookups  int
	maxSmallWorkspaceWait      time.Duration // longest wait of a request of a small workspace

	anyDataCentreOut bool
	outDataCentre    int
	noNewWorkSince   map[string]time.Time // by server that may receive no new work
	lastNewWorkDelay time.Duration        // longest time from noNewWorkSince to a grant
	lateDispatches   int                  // grants more than 3 s after noNewWorkSince
	missedTargets    map[string]int       // by cause and class
	servedHistory    [][]float64          // served units by sample and workspace, one sample a second
}

func newMetricsRecorder() *metricsRecorder {
	return &metricsRecorder{sentBytes: map[string]int{}, payloadBytes: map[protoreflect.Name]int{}, waiting: map[string]int{}, refusals: map[string]int{}, missedTargets: map[string]int{}, noNewWorkSince: map[string]time.Time{}}
}

// startMeasuring ends the warm-up and resets the byte counts.
func (m *metricsRecorder) startMeasuring(f *fleet) {
	f.updateUtilisation()
	m.measuring, m.measuredSince = true, f.now
	m.sentBytes, m.payloadBytes = map[string]int{}, map[protoreflect.Name]int{}
}

func (m *metricsRecorder) recordAsk(q *request) {
	q.f.updateUtilisation()
	m.waiting[q.pool]++
	q.askedAt = q.f.now
}

// recordDispatch records that a request got a grant, and adds its cost to the
// served units of its workspace.
func (m *metricsRecorder) recordDispatch(q *request) {
	m.waiting[q.pool]--
	q.workspace.servedUnits += float64(q.cost())
	if w := q.f.now.Sub(q.arrivedAt); m.measuring && q.workspace.small {
		m.maxSmallWorkspaceWait = max(m.maxSmallWorkspaceWait, w)
	}
	if since, out := m.noNewWorkSince[q.server.name]; out {
		after := q.f.now.Sub(since)
		m.lastNewWorkDelay = max(m.lastNewWorkDelay, after)
		if after > 3*time.Second {
			m.lateDispatches++
		}
	}
}

// undoDispatch subtracts the cost of a request that the server did not receive.
func (m *metricsRecorder) undoDispatch(q *request) { q.workspace.servedUnits -= float64(q.cost()) }

// countsTowardTargets reports whether a request counts for targets_met: it
// arrived in the measured time, its workspace is small and its class may not
// wait.
func (m *metricsRecorder) countsTowardTargets(q *request) bool {
	return m.measuring && !q.class.MayWait && !q.arrivedAt.Before(m.measuredSince) && q.workspace.small
}

func (m *metricsRecorder) recordRefusal(q *request, x pool.Refusal) {
	m.waiting[q.pool]--
	m.refusals[x.Code.String()]++
	if m.countsTowardTargets(q) {
		m.targetRequests++
		m.missedTargets["refused "+q.class.Name]++
	}
	if w := q.f.now.Sub(q.arrivedAt); m.measuring && q.workspace.small && q.class.MayWait {
		m.maxSmallWorkspaceWait = max(m.maxSmallWorkspaceWait, w)
	}
}

// recordCompletion records a complete answer and whether it met the targets of
// its class.
func (m *metricsRecorder) recordCompletion(q *request, s pool.Settle) {
	m.completedRequests++
	if !m.countsTowardTargets(q) {
		return
	}
	m.targetRequests++
	latency := q.firstTokenAt.Sub(q.arrivedAt)
	if q.workload.service {
		latency = q.f.now.Sub(q.arrivedAt)
	}
	slow := q.class.TokenInterval > 0 && s.TokenInterval > q.class.TokenInterval
	if latency <= q.class.ResponseTarget() && !slow {
		m.metTargets++
	} else if slow {
		m.missedTargets["slow "+q.class.Name]++
	} else {
		m.missedTargets["late "+q.class.Name]++
	}
}

// fairnessGap returns the greatest difference in served units between any two
// of the numbered workspaces over any interval of the samples. The workspaces
// must be backlogged all the time.
func (m *metricsRecorder) fairnessGap(numbers []int) float64 {
	var worst float64
	for i, a := range numbers {
		for _, b := range numbers[i+1:] {
			low, high := 0.0, 0.0
			for k, h := range m.servedHistory {
				d := h[a] - h[b] - (m.servedHistory[0][a] - m.servedHistory[0][b])
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

// targetsMet returns the share of the counted requests that met their targets,
// 1 if there are none.
func (m *metricsRecorder) targetsMet() float64 {
	if m.targetRequests == 0 {
		return 1
	}
	return float64(m.metTargets) / float64(m.targetRequests)
}

// utilisation returns the share of the engine capacity that was used while
// requests waited, 1 if none waited.
func (m *metricsRecorder) utilisation() float64 {
	if m.available == 0 {
		return 1
	}
	return m.used / m.available
}

// membershipBytesPerSecond is what one router sends for membership, with any
// number of routers, as 'make capacity' measures it. It is added because the
// simulated membership sends no messages.
const membershipBytesPerSecond = 248

// controlBytesPerSecond returns the control bytes per second of the router that
// sent the most.
func (m *metricsRecorder) controlBytesPerSecond(now time.Time) float64 {
	worst := 0
	for _, b := range m.sentBytes {
		worst = max(worst, b)
	}
	return membershipBytesPerSecond + float64(worst)/now.Sub(m.measuredSince).Seconds()
}

// measurement is a measured value with its bound, printed as one line.
type measurement struct {
	deployment, scenario, name string
	value                      float64
	unit                       string
	bound                      float64
	atLeast                    bool // the bound is a minimum, otherwise a maximum
}

func (g measurement) withinBound() bool {
	if g.atLeast {
		return g.value >= g.bound
	}
	return g.value <= g.bound
}

func (g measurement) write(w io.Writer) {
	verdict, sign := "ok", "<="
	if g.atLeast {
		sign = ">="
	}
	if !g.withinBound() {
		verdict = "MISSED"
	}
	fmt.Fprintf(w, "measure %s %s %s %.4g %s target %s%.4g %s\n", g.deployment, g.scenario, g.name, g.value, g.unit, sign, g.bound, verdict)
}
