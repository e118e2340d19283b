// Package measure runs the unchanged decision code of the fleet (pool owners,
// limiters, service ledgers) against small fakes of servers and of links
// between routers, in virtual time and with fixed seeds.
package measure

import (
	"container/heap"
	"time"
)

// loop is a virtual clock with an ordered list of events.
type loop struct {
	now    time.Time
	seq    uint64
	events eventHeap
}

type event struct {
	at  time.Time
	seq uint64
	run func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

func newLoop() *loop { return &loop{now: time.Unix(1_700_000_000, 0)} }

func (l *loop) at(t time.Time, run func()) {
	if t.Before(l.now) {
		t = l.now
	}
	l.seq++
	heap.Push(&l.events, event{t, l.seq, run})
}

func (l *loop) after(d time.Duration, run func()) { l.at(l.now.Add(d), run) }

// every runs f each interval while it returns true.
func (l *loop) every(first, interval time.Duration, f func() bool) {
	l.after(first, func() {
		if f() {
			l.every(interval, interval, f)
		}
	})
}

func (l *loop) runUntil(end time.Time) {
	for len(l.events) > 0 && !l.events[0].at.After(end) {
		e := heap.Pop(&l.events).(event)
		l.now = e.at
		e.run()
	}
	l.now = end
}
