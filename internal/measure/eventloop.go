// Package measure runs the real scheduling code of the fleet (pool owners,
// limiters, service ledgers) against simulated servers and simulated links
// between routers, in virtual time and with fixed seeds.
package measure

import (
	"container/heap"
	"time"
)

// eventLoop is a virtual clock with a queue of events in order of time.
type eventLoop struct {
	now    time.Time
	seq    uint64
	events eventHeap
}

// event is a function to run at a time. Events of the same time run in the
// order in which they were scheduled.
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

func newEventLoop() *eventLoop { return &eventLoop{now: time.Unix(1_700_000_000, 0)} }

// at schedules run for time t, or for now if t has passed.
func (l *eventLoop) at(t time.Time, run func()) {
	if t.Before(l.now) {
		t = l.now
	}
	l.seq++
	heap.Push(&l.events, event{t, l.seq, run})
}

// after schedules run after d.
func (l *eventLoop) after(d time.Duration, run func()) { l.at(l.now.Add(d), run) }

// every calls f after first and then each interval, until f returns false.
func (l *eventLoop) every(first, interval time.Duration, f func() bool) {
	l.after(first, func() {
		if f() {
			l.every(interval, interval, f)
		}
	})
}

// runUntil runs all events up to and including end and sets the clock to end.
func (l *eventLoop) runUntil(end time.Time) {
	for len(l.events) > 0 && !l.events[0].at.After(end) {
		e := heap.Pop(&l.events).(event)
		l.now = e.at
		e.run()
	}
	l.now = end
}
