package streamrecord

import (
	"slices"
	"time"
)

// TakeUps holds the streams that were taken up lately. It is not safe for concurrent use.
type TakeUps struct {
	maxStreams int
	window     time.Duration
	known      map[Key]bool
	recent     []takeUp // oldest first
}

type takeUp struct {
	key Key
	at  time.Time
}

// NewTakeUps returns an empty TakeUps of at most maxStreams streams, each of which it keeps
// for the window.
func NewTakeUps(maxStreams int, window time.Duration) *TakeUps {
	return &TakeUps{maxStreams: maxStreams, window: window, known: map[Key]bool{}}
}

// Add adds a take-up and reports whether it is the first one of its stream in the window.
// It reports false if it holds too many streams to know.
func (t *TakeUps) Add(now time.Time, k Key) (isFirst bool) {
	expired := 0
	for expired < len(t.recent) && now.Sub(t.recent[expired].at) >= t.window {
		delete(t.known, t.recent[expired].key)
		expired++
	}
	t.recent = t.recent[expired:]
	if t.known[k] || len(t.recent) >= t.maxStreams {
		return false
	}
	t.known[k] = true
	t.recent = append(t.recent, takeUp{k, now})
	return true
}

// Remove forgets the latest take-up of a stream, one that was not sent to a server.
func (t *TakeUps) Remove(k Key) {
	delete(t.known, k)
	for i, u := range slices.Backward(t.recent) {
		if u.key == k {
			t.recent = slices.Delete(t.recent, i, i+1)
			return
		}
	}
}
