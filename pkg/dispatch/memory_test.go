package dispatch

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const smallestHost = 284 << 20 // bytes, of the users' deployments

var lastPartID uint64 = 1000 // above the parts that tests name

// sendParts sends requests with parts that no other request has through a, whose digests
// b merges, and returns the time after that.
func sendParts(a, b *Dispatcher, now time.Time, requests, parts, tokens int) time.Time {
	b.MergeDigest(now, nextDigest(a, now))
	for i := range requests {
		now = now.Add(time.Second / 100)
		list := make([]Part, parts)
		for j := range list {
			lastPartID++
			list[j] = Part{ID: lastPartID, Tokens: tokens}
		}
		r := newRequest(now, "w", 1500, time.Second, list...)
		if a.Admit(now, r).Action == Send {
			a.RecordEvent(now, r)
			a.RecordOutcome(now, r, Completed)
		}
		if i%5 == 4 {
			b.MergeDigest(now, nextDigest(a, now))
		}
	}
	return now
}

// Guards against edge hosts that run out of memory by prompts of many small parts, their
// own and those that other hosts tell them of: parts were bounded by their tokens alone.
func TestManySmallPartsTakeBoundedMemory(t *testing.T) {
	for _, tokens := range []int{0, 1, 5} {
		t.Run(fmt.Sprint(tokens), func(t *testing.T) {
			fleet := newFleet(2, 9)
			for _, d := range fleet {
				d.SetServiceRate(0)
				d.SetMemory(smallestHost)
			}
			sendParts(fleet[0], fleet[1], start, 1000, 1500, tokens)
			assert.Assert(t, fleet[0].Dropped().CachedParts > 0 && fleet[0].Dropped().Placements > 0, "%+v", fleet[0].Dropped())
			for _, d := range fleet {
				parts := 0
				for _, s := range d.servers {
					parts += len(s.cachedParts.parts)
				}
				assert.Assert(t, parts > 1000 && parts*cachedPartBytes <= smallestHost/cachedPartsDivisor, "%d parts", parts)
				assert.Assert(t, len(d.pendingPlacements) <= maxPendingPlacements && len(d.summaryState.pendingPlacements) <= maxSummaryPlacements)
			}
		})
	}
}

// Guards against parts that take more memory than the bound counts for each.
func TestMemoryOfACachedPart(t *testing.T) {
	heap := func() uint64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	for _, n := range []int{58_000, 115_000, 200_000} { // a map grows to twice its size at 57,344 and 114,688
		before := heap()
		c := newCached()
		c.maxParts = n
		for i := range n + n/2 {
			c.recordUse([]Part{{ID: uint64(i)}}, start, engineKV)
		}
		bytes := (heap() - before) / uint64(n)
		assert.Equal(t, len(c.parts), n)
		assert.Assert(t, bytes > 80 && bytes <= cachedPartBytes, "%d bytes for each of %d parts", bytes, n)
		runtime.KeepAlive(c)
	}
}

// Guards against a bound that takes away parts that requests go on to share, or that
// engines with usual prompts cache.
func TestBoundKeepsSharedParts(t *testing.T) {
	fleet := newFleet(2, 9)
	a, b := fleet[0], fleet[1]
	a.SetServiceRate(0)
	a.SetMemory(smallestHost)
	shared, now := Part{ID: 7, Tokens: 800}, start
	for round := range 20 {
		now = sendParts(a, b, now, 15, 1500, 1)
		now = now.Add(time.Second)
		r := newRequest(now, "w", 900, time.Second, shared)
		r.ExcludedServers = []string{"engine-1", "engine-2", "engine-3", "engine-4", "engine-5", "engine-6", "engine-7", "engine-8"}
		v := a.Admit(now, r)
		assert.Equal(t, v.Server, "engine-0")
		assert.Assert(t, round == 0 || v.UncachedTokens == 100, "round %d: %d tokens count as not cached", round, v.UncachedTokens)
		a.RecordEvent(now, r)
		a.RecordOutcome(now, r, Completed)
	}

	usual := newFleet(2, 9)
	usual[0].SetServiceRate(0)
	usual[0].SetMemory(smallestHost)
	sendParts(usual[0], usual[1], start, 10_000, 3, 300)
	assert.Equal(t, usual[0].Dropped(), Dropped{})
}
