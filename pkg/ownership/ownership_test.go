package ownership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "jackdawtrack.example/jackdawtrack/internal/fixedseed" // same seed in every run
	"jackdawtrack.example/jackdawtrack/pkg/limiter"
	"jackdawtrack.example/jackdawtrack/pkg/membership"
	"jackdawtrack.example/jackdawtrack/pkg/pool"
)

var startTime = time.Unix(1_700_000_000, 0)

func router(dc string, i int) membership.Member {
	return membership.Member{Name: fmt.Sprintf("%s-router-%d", dc, i), DataCentre: dc, Role: RoleRouter, Incarnation: 1}
}

func drawMembers(t *rapid.T) []membership.Member {
	var all []membership.Member
	for _, dc := range []string{"a", "b"} {
		for i := range rapid.IntRange(1, 8).Draw(t, "routers") {
			m := router(dc, i)
			m.Draining = rapid.Bool().Draw(t, "draining")
			m.Status = membership.Status(rapid.IntRange(0, 3).Draw(t, "status"))
			m.StatusSince = startTime.Add(-time.Duration(rapid.IntRange(0, 20).Draw(t, "minutes")) * time.Minute)
			all = append(all, m)
		}
	}
	return all
}

func shardsOf(dc string, count int) []pool.ShardID {
	var shards []pool.ShardID
	for i := range count {
		shards = append(shards, pool.ShardID{DataCentre: dc, Pool: fmt.Sprintf("pool-%d", i/4), Shard: uint32(i % 4)})
	}
	return shards
}

// Guards against two routers that derive different owners from the same member
// list, and against an owner that is dead, in another data centre, or draining
// although others are not.
func TestOneOwnerPerView(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := drawMembers(t)
		shuffled := rapid.Permutation(members).Draw(t, "order")
		first := NewView(startTime, members[0], members)
		second := NewView(startTime, members[len(members)-1], shuffled)
		for _, shard := range append(shardsOf("a", 8), shardsOf("b", 8)...) {
			one, ok := first.Owner(shard)
			two, ok2 := second.Owner(shard)
			if one.Name != two.Name || ok != ok2 {
				t.Fatalf("shard %v has owners %s and %s", shard, one.Name, two.Name)
			}
			live, working := 0, 0
			for _, m := range members {
				if m.DataCentre == shard.DataCentre && m.IsLive() {
					live++
					if !m.Draining {
						working++
					}
				}
			}
			if ok != (live > 0) || ok && (!one.IsLive() || one.DataCentre != shard.DataCentre || one.Draining && working > 0) {
				t.Fatalf("shard %v: owner %+v of %d live, %d not draining", shard, one, live, working)
			}
		}
	})
}

// Guards against unnecessary moves: if a router is lost, only its shards may
// move. The same comparison in the other direction covers a new router.
func TestMovementIsMinimal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var members []membership.Member
		for i := range rapid.IntRange(2, 20).Draw(t, "routers") {
			members = append(members, router("a", i))
		}
		lost := rapid.IntRange(0, len(members)-1).Draw(t, "lost")
		fewer := append(append([]membership.Member{}, members[:lost]...), members[lost+1:]...)
		full, without := NewView(startTime, members[0], members), NewView(startTime, members[0], fewer)
		shards := shardsOf("a", 200)
		owned := 0
		for _, shard := range shards {
			if m, _ := full.Owner(shard); m.Name == members[lost].Name {
				owned++
			}
		}
		changes := Changes(full, without, shards)
		if len(changes) != owned {
			t.Fatalf("%d shards moved, the lost router had %d", len(changes), owned)
		}
		for _, c := range changes {
			if c.From.Name != members[lost].Name {
				t.Fatalf("shard %v moved from %s", c.Shard, c.From.Name)
			}
		}
	})
}

// Guards against shares whose sum exceeds the limit of a server: each rank must
// occur once, and routers that left or have been dead for
// membership.DeadMemberRetention must not count.
func TestRouterCounts(t *testing.T) {
	list := []membership.Member{router("a", 0), router("a", 1), router("a", 2), router("a", 3), router("b", 0)}
	list[1].Status, list[1].StatusSince = membership.Dead, startTime.Add(-time.Minute)
	list[3].Status, list[3].StatusSince = membership.Left, startTime
	for i, want := range map[int]int{0: 0, 1: 1, 2: 2} {
		known, live, rank := NewView(startTime, list[i], list).RouterCounts()
		assert.DeepEqual(t, []int{known, live, rank}, []int{3, 2, want})
	}
	known, live, rank := NewView(startTime.Add(membership.DeadMemberRetention), list[2], list).RouterCounts()
	assert.DeepEqual(t, []int{known, live, rank}, []int{2, 2, 1})
}

// Guards against an uneven distribution of shards over the routers.
func TestShardsSpread(t *testing.T) {
	var members []membership.Member
	for i := range 10 {
		members = append(members, router("a", i))
	}
	v := NewView(startTime, members[0], members)
	count := map[string]int{}
	for _, shard := range shardsOf("a", 2000) {
		m, _ := v.Owner(shard)
		count[m.Name]++
	}
	for _, m := range members {
		assert.Assert(t, count[m.Name] > 100 && count[m.Name] < 400, "%s owns %d of 2000, even is 200", m.Name, count[m.Name])
	}
}

// newNextOwner returns a tracker of the router that will own testShard after
// its present owner, the member list, and the index of the present owner in it.
func newNextOwner(t *testing.T) (tr *Tracker, members []membership.Member, owner int) {
	members = []membership.Member{router("a", 0), router("a", 1)}
	present, _ := NewView(startTime, members[0], members).Owner(testShard)
	if present.Name == members[1].Name {
		owner = 1
	}
	next := members[1-owner]
	tr = NewTracker(startTime, pool.RouterID{Name: next.Name, DataCentre: "a", Incarnation: 1}, true)
	tr.Update(startTime, members)
	got, _, ok := tr.Owner(startTime, testShard)
	assert.Assert(t, ok && got.Name == present.Name)
	return tr, members, owner
}

// granting reports whether the router of tr may grant for testShard.
func granting(tr *Tracker, after time.Duration) bool {
	owner, _, ok := tr.Owner(startTime.Add(after), testShard)
	return ok && owner == tr.self
}

// Guards against a new owner that goes on waiting after the handover.
func TestHandoverStartsAtOnce(t *testing.T) {
	tr, members, owner := newNextOwner(t)
	members[owner].Draining = true
	tr.Update(startTime, members)
	assert.Assert(t, !granting(tr, HandoverTimeout-1))
	highEpoch := uint64(startTime.Add(time.Hour).UnixMilli())
	assert.Assert(t, tr.RecordHandover(startTime, testShard, highEpoch))
	assert.Assert(t, granting(tr, 0))
	_, epoch, _ := tr.Owner(startTime, testShard)
	assert.Assert(t, epoch > highEpoch)
}

// Guards against a new owner that grants before other routers have reported
// their held grants, and against one that waits for the handover of a dead
// router.
func TestDeadOwnerIsReplacedAfterWait(t *testing.T) {
	tr, members, owner := newNextOwner(t)
	members[owner].Status = membership.Dead
	tr.Update(startTime, members)
	assert.Assert(t, !granting(tr, TakeoverDelay-1))
	assert.Assert(t, granting(tr, TakeoverDelay))

	tr, members, owner = newNextOwner(t)
	members[owner].Draining = true
	tr.Update(startTime, members)
	members[owner].Status = membership.Dead
	tr.Update(startTime, members)
	assert.Assert(t, !granting(tr, TakeoverDelay-1))
	assert.Assert(t, granting(tr, TakeoverDelay))
}

// testFleet runs the trackers of several routers whose views lag behind the
// actual member list.
type testFleet struct {
	now          time.Time
	members      []membership.Member // the actual list
	trackers     map[string]*Tracker // of running routers
	grants       map[string]uint64   // epochs of the granting owners by name
	highestEpoch uint64              // over all owners so far
}

var testShard = shardsOf("a", 1)[0]

func (f *testFleet) update(name string) {
	f.trackers[name].Update(f.now, f.members)
}

// check asks each tracker for the owner and passes on the handover of a router
// that sees another owner, as a router does. It fails if two routers grant.
func (f *testFleet) check(t *rapid.T) {
	for _, m := range f.members {
		tr, running := f.trackers[m.Name]
		if !running {
			continue
		}
		owner, epoch, ok := tr.Owner(f.now, testShard)
		switch {
		case ok && owner == tr.self:
			if f.grants[m.Name] != epoch {
				if epoch <= f.highestEpoch {
					t.Fatalf("%s starts with epoch %d, not above the highest epoch %d", m.Name, epoch, f.highestEpoch)
				}
				f.grants[m.Name], f.highestEpoch = epoch, epoch
			}
		case ok && f.grants[m.Name] != 0:
			last := f.grants[m.Name]
			delete(f.grants, m.Name)
			if next, running := f.trackers[owner.Name]; running {
				next.RecordHandover(f.now, testShard, last)
			}
		}
	}
	if len(f.grants) > 1 {
		t.Fatalf("more than one owner grants: %v", f.grants)
	}
}

// Guards against two routers that grant for one shard at the same time without a
// partition, and against epochs that do not increase. Routers learn of a change
// in any order, all within HandoverTimeout.
func TestHandoverHasOneOwner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		f := &testFleet{now: startTime, trackers: map[string]*Tracker{}, grants: map[string]uint64{}}
		for i := range rapid.IntRange(2, 5).Draw(t, "routers") {
			m := router("a", i)
			f.members = append(f.members, m)
			f.trackers[m.Name] = NewTracker(f.now, pool.RouterID{Name: m.Name, DataCentre: "a", Incarnation: 1}, true)
		}
		f.spreadUpdates(random, t)
		t.Repeat(map[string]func(*rapid.T){
			"drain or return": func(t *rapid.T) {
				i := rapid.IntRange(0, len(f.members)-1).Draw(t, "router")
				f.members[i].Draining = !f.members[i].Draining
				f.spreadUpdates(random, t)
			},
			"crash or restart": func(t *rapid.T) {
				m := &f.members[rapid.IntRange(0, len(f.members)-1).Draw(t, "router")]
				if _, running := f.trackers[m.Name]; running {
					delete(f.trackers, m.Name)
					delete(f.grants, m.Name)
					m.Status, m.StatusSince = membership.Dead, f.now
				} else {
					m.Status, m.Incarnation, m.Draining = membership.Alive, m.Incarnation+1, false
					tr := NewTracker(f.now, pool.RouterID{Name: m.Name, DataCentre: "a", Incarnation: m.Incarnation}, true)
					f.trackers[m.Name] = tr
					tr.Update(f.now, []membership.Member{*m}) // a restarted router first sees only itself and joins within JoinTimeout
					f.advance(t, time.Duration(random.Int64N(int64(JoinTimeout/2))))
				}
				f.spreadUpdates(random, t)
			},
			"": f.check,
		})
		f.advance(t, JoinTimeout+HandoverTimeout)
		if len(f.trackers) > 0 && len(f.grants) != 1 {
			t.Fatalf("%d routers run, but %v grant, want one", len(f.trackers), f.grants)
		}
	})
}

// spreadUpdates gives the present member list to the routers one after the
// other in random order, all within less than HandoverTimeout.
func (f *testFleet) spreadUpdates(random *rand.Rand, t *rapid.T) {
	var names []string
	for _, m := range f.members {
		if _, running := f.trackers[m.Name]; running {
			names = append(names, m.Name)
		}
	}
	random.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	for _, name := range names {
		f.update(name)
		f.check(t)
		f.now = f.now.Add(time.Duration(random.Int64N(int64(HandoverTimeout) / 6)))
		f.check(t)
	}
	f.advance(t, time.Duration(random.Int64N(int64(JoinTimeout))))
}

// advance lets time pass and calls check at each step.
func (f *testFleet) advance(t *rapid.T, d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(TakeoverDelay / 10) {
		f.check(t)
	}
	f.check(t)
}

// Guards against two routers that restart while they are partitioned and both
// use the whole limit of a server.
func TestIsolatedRestartedRouterTakesShare(t *testing.T) {
	const limit = 8
	sum := 0
	for _, name := range []string{"r1", "r2"} {
		tr := NewTracker(startTime, pool.RouterID{Name: name, DataCentre: "a", Incarnation: 2}, true)
		tr.SetExpectedRouters(2)
		tr.Update(startTime, []membership.Member{{Name: name, DataCentre: "a", Role: RoleRouter, Incarnation: 2}})
		l := limiter.New(startTime, limit, limit)
		l.Restore(startTime, limit, false)
		known, live, rank := tr.RouterCounts()
		l.SetKnownRouters(startTime, known, live, rank)
		sum += l.Limit()
	}
	assert.Assert(t, sum <= limit, "limits of both routers sum up to %d, more than the limit", sum)
	tr := NewTracker(startTime, pool.RouterID{Name: "r1", DataCentre: "a", Incarnation: 2}, true)
	tr.SetExpectedRouters(2)
	both := []membership.Member{{Name: "r1", DataCentre: "a", Role: RoleRouter, Incarnation: 2}, {Name: "r2", DataCentre: "a", Role: RoleRouter, Incarnation: 2}}
	tr.Update(startTime, both)
	known, live, rank := tr.RouterCounts()
	assert.DeepEqual(t, []int{known, live, rank}, []int{2, 2, 0})
}

// Guards against a router whose join stays pending although no other router answers, so
// that what waits for the join never ends, and against one that waits without others.
func TestJoinIsPendingUntilTimeout(t *testing.T) {
	one := router("a", 0)
	self := pool.RouterID{Name: one.Name, DataCentre: one.DataCentre, Incarnation: one.Incarnation}
	alone := NewTracker(startTime, self, false)
	assert.Check(t, !alone.JoinPending(startTime), "without others")
	tr := NewTracker(startTime, self, true)
	tr.Update(startTime, []membership.Member{one})
	assert.Check(t, tr.JoinPending(startTime.Add(JoinTimeout-1)), "no other answered")
	assert.Check(t, !tr.JoinPending(startTime.Add(JoinTimeout)), "no other answered in time")
	tr.Update(startTime, []membership.Member{one, router("a", 1)})
	assert.Check(t, !tr.JoinPending(startTime), "joined")
}
