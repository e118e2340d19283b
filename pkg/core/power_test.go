package core

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/pkg/wal/waltest"
)

// poweredCore is a core of three hosts whose disks lose what is not synced when the
// power of all hosts fails.
type poweredCore struct {
	*testCore
	rng   *rand.Rand
	power *waltest.Power
	disk  map[int]*waltest.PowerDisk
	marks atomic.Uint64 // acknowledged marks, the data centres dc-1 to dc-n
	acked atomic.Uint64 // the latest acknowledged version
}

const poweredHosts = 3

func newPoweredCore(t *testing.T, seed uint64) *poweredCore {
	t.Logf("seed %d", seed)
	c := &poweredCore{testCore: newTestCore(t, poweredHosts), rng: rand.New(rand.NewPCG(seed, 0)), power: &waltest.Power{}, disk: map[int]*waltest.PowerDisk{}}
	for n := 1; n <= poweredHosts; n++ {
		c.disk[n] = c.power.NewDisk()
		c.disks[n] = c.disk[n]
	}
	c.startAll(poweredHosts)
	c.submitUntilAgreed(1, 2, 3)
	c.acked.Store(c.version)
	return c
}

// submitUntilPowerFails submits versions and marks to all hosts at once, and ends the
// power of all hosts as soon as one more of them is acknowledged.
func (c *poweredCore) submitUntilPowerFails() {
	var operators sync.WaitGroup
	var once sync.Once
	failPower := func() { once.Do(c.power.Fail) }
	ctx, cancel := context.WithTimeout(c.t.Context(), testDeadline)
	version, mark := &atomic.Uint64{}, &atomic.Uint64{}
	version.Store(c.version)
	mark.Store(c.marks.Load())
	for n := 1; n <= poweredHosts; n++ {
		operators.Go(func() {
			for ctx.Err() == nil {
				v := version.Add(1)
				if c.hosts[n].SubmitDocument(ctx, &apiv1.FleetDocument{Version: v, Data: fmt.Append(nil, "document ", v)}) == nil {
					storeMax(&c.acked, v)
					failPower()
					return
				}
			}
		})
	}
	operators.Go(func() {
		for ctx.Err() == nil {
			if m := mark.Load() + 1; c.hosts[1].SubmitDataCentreMark(ctx, fmt.Sprint("dc-", m), true, func() bool { return true }) == nil {
				mark.Store(m)
				c.marks.Store(m)
				failPower()
				return
			}
		}
	})
	c.waitFor("a failure of the power", c.power.Failed)
	cancel()
	operators.Wait()
	c.version = version.Load()
}

func storeMax(a *atomic.Uint64, v uint64) {
	for old := a.Load(); v > old && !a.CompareAndSwap(old, v); old = a.Load() {
	}
}

// restart starts all hosts with what their disks have kept. The disk of the lost host is
// empty, 0 for none.
func (c *poweredCore) restart(lost int) {
	for n := 1; n <= poweredHosts; n++ {
		c.stop(n)
	}
	c.power = &waltest.Power{}
	for n := 1; n <= poweredHosts; n++ {
		c.disk[n] = c.disk[n].Survivor(c.power, c.rng)
		if n == lost {
			c.disk[n] = c.power.NewDisk()
		}
		c.disks[n] = c.disk[n]
	}
	for _, i := range c.rng.Perm(poweredHosts) {
		c.start(i+1, c.seeds, true)
	}
}

// checkAcknowledged waits until each host reads, and checks that it has everything that
// was acknowledged.
func (c *poweredCore) checkAcknowledged() {
	c.t.Helper()
	for n := 1; n <= poweredHosts; n++ {
		c.waitRead(n, c.acked.Load())
	}
	out := map[string]bool{}
	for _, m := range c.readState().GetMarks() {
		out[m.GetDataCentre()] = m.GetOut()
	}
	for m := uint64(1); m <= c.marks.Load(); m++ {
		assert.Assert(c.t, out[fmt.Sprint("dc-", m)], "the mark of dc-%d was acknowledged and is lost", m)
	}
}

// readState reads the state with the confirmation of a majority.
func (c *poweredCore) readState() (state *apiv1.FleetState) {
	c.waitFor("a read", func() bool {
		ctx, cancel := context.WithTimeout(c.t.Context(), operatorTimeout)
		defer cancel()
		var err error
		state, err = c.hosts[1].readFromLeader(ctx, true)
		return err == nil
	})
	return state
}

// Guards against acknowledged configurations and evacuations that are lost when all hosts
// lose power right after the acknowledgement, again while they start, and again later.
func TestAcknowledgedStateSurvivesRepeatedPowerLoss(t *testing.T) {
	for seed := uint64(1); seed <= 6; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			c := newPoweredCore(t, seed)
			for range 2 {
				c.submitUntilPowerFails()
				c.restart(0)
				time.Sleep(time.Duration(c.rng.IntN(1500)) * time.Millisecond) // a moment of the start or the election
				c.power.Fail()
				c.restart(0)
				c.checkAcknowledged()
			}
		})
	}
}

// Guards against acknowledged configurations and evacuations that are lost when the disk
// of one host is lost at the moment at which all others lose power.
func TestAcknowledgedStateSurvivesLostDiskAndPowerLoss(t *testing.T) {
	for lost := 1; lost <= poweredHosts; lost++ {
		t.Run(fmt.Sprint(lost), func(t *testing.T) {
			c := newPoweredCore(t, uint64(100+lost))
			c.submitUntilPowerFails()
			c.restart(lost)
			c.checkAcknowledged()
			c.waitFor("three voters", func() bool { return len(c.voters(lost)) == poweredHosts })
			c.submitUntilPowerFails()
			c.restart(lost%poweredHosts + 1)
			c.checkAcknowledged()
		})
	}
}
