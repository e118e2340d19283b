package pool

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jackdawtrack.example/jackdawtrack/pkg/backend"
	"jackdawtrack.example/jackdawtrack/pkg/class"
	"jackdawtrack.example/jackdawtrack/pkg/result"
)

// overload simulates one owner whose servers have 8 slots each. A request uses its slot for
// 0.5 to 1.5 s.
type overload struct {
	o       *Owner
	rnd     *rand.Rand
	now     time.Time
	servers int
	lastID  uint64
	waiting map[uint64]*simulatedAsk
	ends    map[uint64]simulatedEnd // by grant id
	totals  map[string]int64        // requests by server
}

type simulatedEnd struct {
	at     time.Time
	server string
	cost   uint64
	id     uint64
}

// simulatedAsk is one ask and what became of it.
type simulatedAsk struct {
	workspace string
	takesUp   bool
	at        time.Time
	granted   bool
	code      result.Code
	wait      time.Duration
}

func newOverload(t *testing.T, servers int) *overload {
	s := &overload{o: newWarmOwner(t, DefaultConfig(), servers), rnd: rand.New(rand.NewSource(1)), now: start, servers: servers,
		waiting: map[uint64]*simulatedAsk{}, ends: map[uint64]simulatedEnd{}, totals: map[string]int64{}}
	return s
}

// ask sends an ask. ordered states whether a take-up says that it is one.
func (s *overload) ask(workspace string, c class.Class, takesUp, ordered bool) *simulatedAsk {
	s.lastID++
	x := &simulatedAsk{workspace: workspace, takesUp: takesUp, at: s.now}
	s.waiting[s.lastID] = x
	a := ask(s.lastID, workspace, c, s.now)
	a.TakesUp = takesUp && ordered
	s.o.Ask(s.now, a)
	s.collect()
	return x
}

func (s *overload) collect() {
	out := s.o.TakeOutput()
	for _, g := range out.Grants {
		x := s.waiting[g.RequestID]
		delete(s.waiting, g.RequestID)
		x.granted, x.wait = true, s.now.Sub(x.at)
		d := 500*time.Millisecond + time.Duration(s.rnd.Int63n(int64(time.Second)))
		s.ends[g.GrantID] = simulatedEnd{at: s.now.Add(d), server: g.Server, cost: uint64(d.Milliseconds()), id: g.GrantID}
		s.totals[g.Server]++
	}
	for _, r := range out.Refusals {
		x := s.waiting[r.RequestID]
		delete(s.waiting, r.RequestID)
		x.code, x.wait = r.Code, s.now.Sub(x.at)
	}
}

// step lets 10 ms pass.
func (s *overload) step() {
	s.now = s.now.Add(10 * time.Millisecond)
	var ended []simulatedEnd
	for _, e := range s.ends {
		if !e.at.After(s.now) {
			ended = append(ended, e)
		}
	}
	slices.SortFunc(ended, func(a, b simulatedEnd) int { return int(a.id) - int(b.id) })
	for _, e := range ended {
		delete(s.ends, e.id)
		s.o.Settle(s.now, Settle{GrantID: e.id, Epoch: 2, Outcome: OutcomeOK, CostUnits: e.cost, FirstToken: 100 * time.Millisecond, TokenInterval: 20 * time.Millisecond})
		s.collect()
	}
	if s.now.Sub(start)%backend.AnnounceInterval == 0 {
		for i := range s.servers {
			name := fmt.Sprintf("s%d", i)
			a := announce(name, s.totals[name])
			for _, e := range s.ends {
				if e.server == name {
					a.Load.Running++
				}
			}
			s.o.HandleAnnouncement(s.now, a)
		}
	}
	s.o.Tick(s.now)
	s.collect()
}

// counts summarises asks.
type counts struct {
	asked, granted int
	byCode         map[result.Code]int
	waits          []time.Duration // of the granted ones, ascending
}

func count(asks []*simulatedAsk, match func(*simulatedAsk) bool) counts {
	c := counts{byCode: map[result.Code]int{}}
	for _, x := range asks {
		if !match(x) {
			continue
		}
		c.asked++
		if x.granted {
			c.granted++
			c.waits = append(c.waits, x.wait)
		} else {
			c.byCode[x.code]++
		}
	}
	slices.Sort(c.waits)
	return c
}

func (c counts) String() string {
	s := fmt.Sprintf("%d of %d granted, refused %v", c.granted, c.asked, c.byCode)
	if n := len(c.waits); n > 0 {
		s += fmt.Sprintf(", wait median %v, longest %v", c.waits[n/2], c.waits[n-1])
	}
	return s
}

// playTakeUps plays 20 s of an overload in which three workspaces ask for half as much
// again as the servers can serve. After 10 s streams of all workspaces break off and
// broken of them come back within 0.5 s.
func playTakeUps(t *testing.T, broken int, ordered bool) (takeUps, newStreams counts) {
	s := newOverload(t, 4) // 32 requests a second
	var asks []*simulatedAsk
	for i := range 2000 {
		if s.rnd.Float64() < 0.48 {
			asks = append(asks, s.ask(fmt.Sprintf("w%d", s.rnd.Intn(3)), chat, false, ordered))
		}
		if k := i - 1000; k >= 0 && k < 50 {
			for range (k+1)*broken/50 - k*broken/50 {
				asks = append(asks, s.ask(fmt.Sprintf("w%d", s.rnd.Intn(3)), chat, true, ordered))
			}
		}
		s.step()
	}
	from, to := start.Add(10*time.Second), start.Add(12*time.Second)
	takeUps = count(asks, func(x *simulatedAsk) bool { return x.takesUp })
	newStreams = count(asks, func(x *simulatedAsk) bool { return !x.takesUp && !x.at.Before(from) && x.at.Before(to) })
	return takeUps, newStreams
}

// Guards against take-ups of which a smaller share goes on than of new streams, or later,
// while an overload lasts.
func TestTakeUpsInAnOverloadGoOn(t *testing.T) {
	for _, broken := range []int{8, 16, 32} {
		takeUps, newStreams := playTakeUps(t, broken, true)
		t.Logf("%d take-ups: %v; new streams of these 2 s: %v", broken, takeUps, newStreams)
		assert.Check(t, newStreams.granted > 0 && newStreams.granted < newStreams.asked, "no overload")
		assert.Check(t, takeUps.granted*100 >= takeUps.asked*95, "%d take-ups: %v", broken, takeUps)
		if len(takeUps.waits) > 0 && len(newStreams.waits) > 0 {
			assert.Check(t, takeUps.waits[len(takeUps.waits)/2] <= newStreams.waits[len(newStreams.waits)/2])
		}
	}
}

// Guards against asks of routers of an older version, which do not say that they take a
// stream up, that are not served in the order of new ones.
func TestTakeUpsOfOlderRoutersAreNewAsks(t *testing.T) {
	for _, broken := range []int{8, 16, 32} {
		takeUps, newStreams := playTakeUps(t, broken, false)
		t.Logf("%d take-ups: %v; new streams of these 2 s: %v", broken, takeUps, newStreams)
		assert.Assert(t, takeUps.granted > 0 && newStreams.granted > 0)
		assert.Check(t, 2*takeUps.waits[len(takeUps.waits)/2] >= newStreams.waits[len(newStreams.waits)/2], "served ahead of new streams")
	}
}

// Guards against a workspace that takes streams up without end and leaves others less than
// half of what they ask for within their share, whether they wait all the time or now and
// then.
func TestFloodOfTakeUpsLeavesOthersTheirShare(t *testing.T) { testFlood(t, true) }

// Guards against asks that are refused for the wait of what another workspace has queued
// beyond its share.
func TestFloodOfNewStreamsLeavesOthersTheirShare(t *testing.T) { testFlood(t, false) }

func testFlood(t *testing.T, takesUp bool) {
	const seconds = 60
	for name, rates := range map[string]map[string]float64{ // requests a second of workspaces with new streams; 32 are served
		"others ask for their share":      {"b": 10, "c": 10},
		"one asks for its share":          {"b": 16},
		"one asks for little":             {"b": 2},
		"others ask for more":             {"b": 30, "c": 30},
		"one asks for little, one a lot":  {"b": 2, "c": 60},
		"many, of which one has take-ups": {"b": 4, "c": 4, "d": 4, "e": 4, "f": 4, "g": 4},
	} {
		t.Run(name, func(t *testing.T) {
			s := newOverload(t, 4)
			var asks []*simulatedAsk
			for range seconds * 100 {
				asks = append(asks, s.ask("a", chat, takesUp, true))
				for _, w := range []string{"b", "c", "d", "e", "f", "g"} {
					if s.rnd.Float64() < rates[w]/100 {
						asks = append(asks, s.ask(w, chat, false, true))
					}
				}
				s.step()
			}
			flood := count(asks, func(x *simulatedAsk) bool { return x.workspace == "a" })
			t.Logf("a: %v", flood)
			for w := range rates {
				got := count(asks, func(x *simulatedAsk) bool { return x.workspace == w })
				t.Logf("%s: %v", w, got)
				share := min(float64(got.asked), 32*seconds/float64(len(rates)+1))
				assert.Check(t, float64(got.granted) >= share/2, "%s got %d of its share of %.0f", w, got.granted, share)
				if got.granted < got.asked {
					assert.Check(t, float64(flood.granted) <= 2*float64(got.granted) || float64(got.granted) >= float64(got.asked)/2, "%s got %d of %d, the flood %d", w, got.granted, got.asked, flood.granted)
				}
			}
			assert.Check(t, flood.granted > 0)
		})
	}
}
