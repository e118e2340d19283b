package registry

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// pass sends the entry of a server from one host to another.
func pass(from, to *Registry, id string, now time.Time) {
	if e, ok := from.Get(id); ok {
		to.Merge(FromProto(e.ToProto(now), now))
	}
}

// Guards against a withdrawal of an ended process that shuts out the process after it for
// good, on each connection, at each host and however often it arrives.
func TestLeftOverWithdrawalDoesNotShutOutNextProcess(t *testing.T) {
	const restart, arrival = 10 * time.Second, 20 * time.Second
	for _, c := range []struct {
		name     string
		w        Withdrawal
		startMS  int64 // of the next process
		sequence uint64
		atOther  bool // arrives at a host that learned of the process from another one
		times    int
		longest  time.Duration // without the server
	}{
		{"connection of the ended process", Withdrawal{StartMS: 1}, 2, 1, false, 1, 0},
		{"connection older than the process", Withdrawal{Accepted: start.Add(restart - 1)}, 2, 1, false, 1, 0},
		{"older connection to another host", Withdrawal{Accepted: start.Add(restart - time.Millisecond)}, 2, 1, true, 1, 0},
		{"younger connection", Withdrawal{Accepted: start.Add(restart + time.Second)}, 2, 1, false, 1, 2 * beat},
		{"younger connection to another host", Withdrawal{Accepted: start.Add(restart + time.Second)}, 2, 1, true, 1, 2 * beat},
		{"connection not known", Withdrawal{}, 2, 1, false, 1, 2 * beat},
		{"arrives again and again", Withdrawal{}, 2, 1, true, 3, 6 * beat},
		{"no start time stated", Withdrawal{}, 0, 1, false, 1, 3 * beat},
	} {
		t.Run(c.name, func(t *testing.T) {
			host, other, edge := New(), New(), New()
			host.Merge(heard(newEntry("a", "x", min(c.startMS, 1), 500, Ready), true, 0))
			gone := time.Duration(0)
			for n := time.Duration(0); n < 30; n++ {
				at := restart + n*beat
				host.Merge(heard(newEntry("a", "x", c.startMS, uint64(n)+c.sequence, Ready), true, at))
				if late := int(at/arrival) - 1; at%arrival < beat && late >= 0 && late < c.times {
					to, w := host, c.w
					if w.ID = "a"; c.atOther {
						to = other
					}
					_, known := to.Withdraw(w, start.Add(at))
					assert.Assert(t, known)
				}
				pass(other, host, "a", start.Add(at))
				pass(host, other, "a", start.Add(at))
				pass(host, edge, "a", start.Add(at))
				pass(other, edge, "a", start.Add(at))
				if e, _ := edge.Get("a"); e.State != Ready {
					gone += beat
				}
			}
			assert.Assert(t, gone <= c.longest, "gone for %s", gone)
			for _, r := range []*Registry{host, other, edge} {
				e, _ := r.Get("a")
				assert.Equal(t, e.State, Ready)
			}
		})
	}
}

// Guards against a server that gets work after its withdrawal: the process stops to
// announce itself, but calls that were sent before arrive later, some of them again.
func TestWithdrawnServerIsNotResumedByLateAnnouncements(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		startMS := rapid.SampledFrom([]int64{0, 5}).Draw(t, "start")
		w := Withdrawal{ID: "a", StartMS: rapid.SampledFrom([]int64{0, startMS}).Draw(t, "stated start"), Accepted: start}
		r := New()
		r.Merge(heard(newEntry("a", "x", startMS, 50, Ready), true, 0))
		r.Withdraw(w, start.Add(time.Second))
		at, final := time.Second, w.StartMS != 0
		for range rapid.IntRange(1, 8).Draw(t, "late") {
			at += time.Duration(rapid.IntRange(0, 3000).Draw(t, "delay ms")) * time.Millisecond
			sequence := rapid.Uint64Range(45, 50).Draw(t, "sequence")
			if final {
				sequence += rapid.Uint64Range(0, 9).Draw(t, "beyond")
			}
			if startMS == 0 && !final {
				at = min(at, time.Second+confirmGap) // later it may be a process that began anew
			}
			r.Merge(heard(newEntry("a", "x", startMS, sequence, Ready), true, at))
			if got, _ := r.Get("a"); got.State != Gone {
				t.Fatalf("resumed by announcement %d", sequence)
			}
		}
		end := at + confirmGap
		for sequence := uint64(51); at < end; sequence++ { // held up by a partition, and arrive together
			r.Merge(heard(newEntry("a", "x", startMS, sequence, Ready), true, at))
			at += time.Duration(rapid.IntRange(1, 500).Draw(t, "gap ms")) * time.Millisecond
		}
		if got, _ := r.Get("a"); got.State != Gone {
			t.Fatalf("resumed by announcements that were held up")
		}
	})
}

// Guards against a late announcement of an ended process that acts on the next one, where
// servers state no start time.
func TestLateAnnouncementWithoutStartTimeDoesNotReplaceNextProcess(t *testing.T) {
	r := New()
	r.Merge(heard(newEntry("a", "x", 0, 50, Ready), true, 0))
	at := restartGap
	for n := uint64(1); n < 6; n++ {
		at += beat
		r.Merge(heard(newEntry("a", "x", 0, n, Ready), true, at))
	}
	r.Merge(heard(newEntry("a", "y", 0, 51, Draining), true, at+time.Millisecond))
	got, _ := r.Get("a")
	assert.Equal(t, got.State, Ready)
	assert.Equal(t, got.Address, "x")
	for n := uint64(60); n < 62; n++ { // a partition has ended
		at += 20 * beat
		r.Merge(heard(newEntry("a", "x", 0, n, Draining), true, at))
	}
	got, _ = r.Get("a")
	assert.Equal(t, got.State, Draining)
}

// Guards against calls of an ended process that replace the next one while it is
// partitioned from the core hosts: they arrive over seconds and out of order.
func TestLeftOverAnnouncementsDoNotReplaceSilentProcess(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := New()
		r.Merge(heard(newEntry("a", "x", 5, 1, Ready), true, 0))
		at := restartGap
		order, most := rapid.Permutation([]uint64{40, 41, 42}).Draw(t, "order"), 1900
		if slices.IsSorted(order) {
			most = 900
		}
		for _, sequence := range order {
			at += time.Duration(rapid.IntRange(1, most).Draw(t, "delay ms")) * time.Millisecond
			r.Merge(heard(newEntry("a", "y", 4, sequence, Ready), true, at))
		}
		got, _ := r.Get("a")
		assert.Equal(t, got.Address, "x")
	})
}

// Guards against a server that stays out at hosts which learned of a withdrawal from a
// host that was lost before it told the one that hears the server.
func TestSuspensionOfLostHostEnds(t *testing.T) {
	for _, c := range []struct {
		heard time.Duration
		want  State
	}{{restartGap, Gone}, {restartGap + time.Millisecond, Ready}} {
		lost, edge := New(), New()
		lost.Merge(heard(newEntry("a", "x", 5, 1, Ready), true, 0))
		pass(lost, edge, "a", start)
		lost.Withdraw(Withdrawal{ID: "a"}, start)
		pass(lost, edge, "a", start)
		edge.Renew("a", 5, start.Add(c.heard))
		got, _ := edge.Get("a")
		assert.Equal(t, got.State, c.want)
	}
	final := New()
	final.Merge(heard(newEntry("a", "x", 5, 1, Ready), true, 0))
	final.Withdraw(Withdrawal{ID: "a", StartMS: 5}, start)
	final.Renew("a", 5, start.Add(time.Minute))
	got, _ := final.Get("a")
	assert.Equal(t, got.State, Gone)
}

// fleetModel holds the registries of core hosts and of an edge host, and what is on the
// way between them.
type fleetModel struct {
	hosts []*Registry // the last one is the edge host, which hears no server
	now   time.Time
}

func (m *fleetModel) passAll() {
	for range m.hosts {
		for i, from := range m.hosts[:len(m.hosts)-1] {
			for j, to := range m.hosts {
				if e, ok := from.Get("a"); ok && i != j && e.HeardDirectly {
					pass(from, to, "a", m.now)
				}
			}
		}
	}
}

// Guards against hosts that disagree for good on a server: left-over withdrawals arrive at
// any host beside restarts of hosts and lost messages, and the process goes on or withdraws.
func TestHostsAgreeOnWithdrawnServers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &fleetModel{now: start}
		for range 4 {
			m.hosts = append(m.hosts, New())
		}
		core := rapid.IntRange(0, 2)
		at, sequence := 0, uint64(0)
		announce := func() {
			sequence++
			m.now = m.now.Add(beat)
			m.hosts[at].Merge(heard(newEntry("a", "x", 5, sequence, Ready), true, m.now.Sub(start)))
		}
		announce()
		m.passAll()
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				m.hosts[core.Draw(t, "withdrawal at")].Withdraw(Withdrawal{ID: "a"}, m.now)
			case 1:
				at = core.Draw(t, "announces to")
			case 2:
				i := core.Draw(t, "restarted")
				m.hosts[i] = New()
				for _, h := range m.hosts[:3] { // a stream begins with all entries
					pass(h, m.hosts[i], "a", m.now)
				}
			case 3:
				pass(m.hosts[core.Draw(t, "from")], m.hosts[rapid.IntRange(0, 3).Draw(t, "to")], "a", m.now)
			}
			announce()
		}
		leaves := rapid.Bool().Draw(t, "withdraws")
		m.passAll()
		for range 12 {
			announce()
			m.passAll()
			if e, _ := m.hosts[at].Get("a"); e.Vouched {
				for _, h := range m.hosts {
					h.Renew("a", 5, m.now)
				}
			}
		}
		want := Ready
		if leaves {
			want = Gone
			m.hosts[at].Withdraw(Withdrawal{ID: "a", StartMS: 5}, m.now)
			m.passAll()
		}
		for i, h := range m.hosts {
			if e, _ := h.Get("a"); e.State != want {
				t.Fatalf("host %d: %s, want %s: %+v", i, e.State, want, e)
			}
		}
	})
}
