package membership

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	maxBytesPerSecond = 4000             // of one router, the target for all control traffic
	joinLimit         = 60 * time.Second // until all members agree after a cold start
	detectLimit       = 10 * time.Second // until no router lists a dead one as live
	measuredTime      = 10 * time.Second
	killCount         = 3
	costSeed          = 11
	falseDeadSeed     = 12
)

// Guards against traffic per router that grows with the number of members, and
// against slow failure detection. The bounds are the targets; the measured figures
// are logged.
func TestCostAndDetection(t *testing.T) {
	var costs []float64
	for _, count := range []int{5, 50, 150, 380} {
		n := newNetwork(count, costSeed)
		n.introduceAll()
		sendRate := n.sendRate(measuredTime)
		detectionTimes := n.detectionTimes(killCount)
		t.Logf("seed %d members %d steady %.0f B/s per node, detection by all median %s max %s, largest datagram %d B",
			costSeed, count, sendRate, detectionTimes[len(detectionTimes)/2], detectionTimes[len(detectionTimes)-1], n.largestPacket)
		assert.Assert(t, sendRate <= maxBytesPerSecond, "%d members: %.0f B/s", count, sendRate)
		assert.Assert(t, detectionTimes[len(detectionTimes)-1] < detectLimit)
		assert.Assert(t, n.largestPacket <= MaxPacketBytes)
		costs = append(costs, sendRate)
	}
	assert.Assert(t, costs[3] <= 1.1*costs[1], "cost grows from %.0f to %.0f B/s", costs[1], costs[3])
}

// Guards against a mass restart that does not converge, or whose updates exceed the
// target for control traffic.
func TestMassRestart(t *testing.T) {
	for _, count := range []int{5, 50, 150} {
		n := newNetwork(count, costSeed)
		joined, ok := n.runUntil(joinLimit, n.converged)
		assert.Assert(t, ok, "%d members: %s", count, n.disagreements())
		highest := 0.0
		for range measuredTime / time.Second {
			highest = max(highest, n.sendRate(time.Second))
		}
		t.Logf("seed %d members %d joined in %s, then at most %.0f B/s per node", costSeed, count, joined, highest)
		assert.Assert(t, highest <= maxBytesPerSecond)
	}
}

// sendRate runs the network and returns the mean bytes per second that a host
// sends.
func (n *network) sendRate(span time.Duration) float64 {
	before := 0
	for _, h := range n.hosts {
		before += h.bytes
	}
	n.run(span, nil)
	after := 0
	for _, h := range n.hosts {
		after += h.bytes
	}
	return float64(after-before) / span.Seconds() / float64(len(n.hosts))
}

// detectionTimes kills and restarts one host after another. It returns the times
// until no router listed the killed host as live, in ascending order.
func (n *network) detectionTimes(kills int) []time.Duration {
	var times []time.Duration
	for i := range kills {
		victim := n.hosts[1+i%(len(n.hosts)-1)]
		victim.swim = nil
		took, _ := n.runUntil(detectLimit, n.converged)
		times = append(times, took)
		n.start(victim, n.hosts[0].address)
		n.runUntil(joinLimit, n.converged)
	}
	slices.Sort(times)
	return times
}

// Guards against live routers that are declared dead because of packet loss. The
// numbers of suspicions are logged.
func TestFalsePositivesUnderLoss(t *testing.T) {
	for _, c := range []struct {
		members int
		loss    float64
		span    time.Duration
	}{{5, 0.01, 10 * time.Minute}, {5, 0.05, 10 * time.Minute}, {50, 0.01, 2 * time.Minute}, {50, 0.05, 2 * time.Minute}, {150, 0.01, 30 * time.Second}, {150, 0.05, 30 * time.Second}, {380, 0.05, 10 * time.Second}} {
		t.Run(fmt.Sprintf("%d members %g loss", c.members, c.loss), func(t *testing.T) {
			t.Parallel()
			n := newNetwork(c.members, falseDeadSeed)
			n.introduceAll()
			n.loss = c.loss
			suspicions, dead := 0, 0
			seen := map[string]Status{}
			samples := 0
			sendRate := 0.0
			for start := n.now; n.now.Sub(start) < c.span; samples++ {
				sendRate += n.sendRate(time.Second)
				for _, h := range n.hosts {
					for _, m := range h.swim.Members() {
						key := h.name + m.Name
						if m.Status == Suspect && seen[key] != Suspect {
							suspicions++
						}
						if m.Status == Dead && seen[key] != Dead {
							dead++
						}
						seen[key] = m.Status
					}
				}
			}
			nodeHours := float64(c.members) * c.span.Hours()
			t.Logf("seed %d: %d views of a suspect and %d of a dead member in %.1f node hours, %.0f B/s per node",
				falseDeadSeed, suspicions, dead, nodeHours, sendRate/float64(samples))
			assert.Equal(t, dead, 0)
		})
	}
}
