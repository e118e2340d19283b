// Package confirm shares reads that confirm what a host knows, so that many requests at
// once cost few reads.
package confirm

import (
	"context"
	"sync"
)

// Shared runs one read at a time. Those who call Do while a read runs share the next one,
// because a read confirms only what happened before it began. It is safe for concurrent
// use.
type Shared[T any] struct {
	read func() (T, error)

	mu      sync.Mutex // guards the fields below
	running bool
	waiting []chan outcome[T]
}

type outcome[T any] struct {
	value T
	err   error
}

// New returns a Shared. read must bound its own time and not panic.
func New[T any](read func() (T, error)) *Shared[T] { return &Shared[T]{read: read} }

// Do returns the result of a read that began after the call, or the error of ctx if that
// ends first.
func (s *Shared[T]) Do(ctx context.Context) (T, error) {
	done := make(chan outcome[T], 1)
	s.mu.Lock()
	s.waiting = append(s.waiting, done)
	if !s.running {
		s.running = true
		go s.run()
	}
	s.mu.Unlock()
	select {
	case out := <-done:
		return out.value, out.err
	case <-ctx.Done():
		var none T
		return none, context.Cause(ctx)
	}
}

// run reads until nobody waits.
func (s *Shared[T]) run() {
	for {
		s.mu.Lock()
		batch := s.waiting
		s.waiting, s.running = nil, len(batch) > 0
		s.mu.Unlock()
		if len(batch) == 0 {
			return
		}
		value, err := s.read()
		for _, done := range batch {
			done <- outcome[T]{value, err}
		}
	}
}
