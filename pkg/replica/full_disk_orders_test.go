package replica

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"jackdawtrack.example/jackdawtrack/pkg/result"
	"jackdawtrack.example/jackdawtrack/pkg/wal/waltest"
)

const (
	fullTime   = 3 * time.Second        // how long each disk is full
	changeTime = 100 * time.Millisecond // interval of changes
	callTime   = 900 * time.Millisecond // after which an operator asks another host
	// maxAcceptTime bounds the time from the end of the last full disk to the next
	// accepted change: the longest election timeout, 1.8 s, and one that is lost.
	maxAcceptTime = 5 * time.Second
)

// operator sends changes to the hosts of a group in turn and records the results.
type operator struct {
	*group
	next     uint64
	padding  string // of the commands
	accepted []string
	refused  []string // certainly not accepted
}

// change sends one change to the next host and reports whether it was accepted.
func (o *operator) change() bool {
	o.next++
	m := o.members[o.next%uint64(o.size)+1]
	if m == nil {
		return false // the host is down
	}
	command := fmt.Sprint("change ", o.next, o.padding)
	ctx, cancel := context.WithTimeout(context.Background(), callTime)
	defer cancel()
	begun := time.Now()
	_, err := m.Propose(ctx, []byte(command))
	assert.Assert(o.t, time.Since(begun) <= callTime, "change %d was answered after %s", o.next, time.Since(begun))
	switch codeOf(err) {
	case result.OK:
		assert.NilError(o.t, err)
		o.accepted = append(o.accepted, command)
		return true
	case result.DiskFull, result.NotLeader:
		o.refused = append(o.refused, command)
	case result.NoQuorum:
	default:
		o.t.Fatalf("change %d: %v", o.next, err)
	}
	return false
}

// fillDisk leaves the disk full for fullTime, and calls during in the middle.
func (o *operator) fillDisk(disk *waltest.FaultyDisk, traffic bool, during func()) {
	disk.Full.Store(true)
	end := time.Now().Add(fullTime)
	for i := 0; time.Now().Before(end); i++ {
		if i < 3 || traffic {
			o.change()
		}
		if i == 10 {
			during()
		}
		time.Sleep(changeTime)
	}
	disk.Full.Store(false)
}

// checkAfterFullDisks checks that a change is accepted in maxAcceptTime, that all hosts
// notice the space, and that they have every accepted and no refused change. It returns
// the time to the accepted change.
func (o *operator) checkAfterFullDisks() time.Duration {
	begun := time.Now()
	for !o.change() {
		if time.Since(begun) > maxAcceptTime {
			for id, m := range o.members {
				o.t.Logf("host %d: %+v", id, m.Status())
			}
			o.t.Fatalf("no change was accepted in %s", maxAcceptTime)
		}
		time.Sleep(changeTime / 4)
	}
	took := time.Since(begun)
	commit := o.leader().Status().Commit
	for id := uint64(1); id <= uint64(o.size); id++ {
		o.waitStatus(id, "not caught up", func(s Status) bool { return s.Applied >= commit && !s.DiskFull })
		list := o.members[id].machine.list()
		for _, command := range o.accepted {
			assert.Assert(o.t, slices.Contains(list, command), "host %d lacks %.20q", id, command)
		}
		for _, command := range o.refused {
			assert.Assert(o.t, !slices.Contains(list, command), "host %d has %.20q, which was refused", id, command)
		}
	}
	return took
}

// restartOnFullDisk ends a host and starts it on its full disk. It comes up, or ends with
// DiskFull if it has to repair its folder first.
func (o *operator) restartOnFullDisk(id uint64) {
	o.stop(id)
	r, err := Open(o.config(id), &listMachine{})
	if err != nil {
		assert.Equal(o.t, codeOf(err), result.DiskFull)
		return
	}
	assert.NilError(o.t, r.Close())
}

// Guards against a group that refuses changes, or leaves them unanswered, after the disks
// of its members were full one after another, in any order, with changes throughout or
// only at the begin, beside a snapshot or a restart; every operation on a full disk that
// may need space fails. Time is virtual.
func TestChangesAreAcceptedAfterFullDisksInAnyOrder(t *testing.T) {
	metrics.NewMeter().Stop() // starts the goroutine of all meters outside of the bubbles
	for _, order := range [][]uint64{{1, 2, 3}, {1, 3, 2}, {2, 1, 3}, {2, 3, 1}, {3, 1, 2}, {3, 2, 1}} {
		for _, between := range []string{"nothing", "snapshots", "restart of another", "restart of the full one", "restart of all"} {
			for _, traffic := range []bool{true, false} {
				t.Run(fmt.Sprint(order, "/", between, "/traffic ", traffic), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						g, disks := newGroupWithFaultyDisks(t, 3)
						g.modifyConfig = func(c *Config) { c.Tick, c.HeartbeatTicks, c.ElectionTicks = 100*time.Millisecond, 2, 9 }
						o := &operator{group: g}
						if between == "snapshots" {
							// A host that misses two snapshots needs one, of several chunks.
							g.snapshotThresholdBytes = 40 << 10
							o.padding = strings.Repeat("x", 20<<10)
						}
						g.startAll()
						g.propose("first")
						role := ""
						for i, id := range order {
							role = o.members[id].Status().Role
							o.fillDisk(disks[id], traffic, func() {
								switch between {
								case "restart of another":
									other := order[(i+1)%len(order)]
									g.stop(other)
									g.start(other)
								case "restart of the full one":
									o.restartOnFullDisk(id)
								}
							})
							if g.members[id] == nil {
								g.start(id)
							}
							if between == "restart of all" {
								for _, id := range order {
									g.stop(id)
								}
								g.startAll()
							}
						}
						took := o.checkAfterFullDisks()
						taken, restored := int64(0), int64(0)
						for _, m := range o.members {
							taken += m.metrics.snapshots.Count()
							restored += m.metrics.restored.Count()
						}
						assert.Assert(t, between != "snapshots" || !traffic || taken > 0 && restored > 0, "%d snapshots taken, %d restored", taken, restored)
						t.Logf("the last full disk was that of a %s, a change was accepted after %s, %d snapshots taken, %d restored", role, took, taken, restored)
					})
				})
			}
		}
	}
}
