package confirm

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a request that is confirmed by a read which began before it, and against
// a read for each of many requests.
func TestLaterCallWaitsForItsOwnRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var reads atomic.Int64
		s := New(func() (time.Time, error) {
			began := time.Now()
			reads.Add(1)
			time.Sleep(time.Second) // virtual time
			return began, nil
		})
		const callers = 100
		done := make(chan struct{}, callers)
		for i := range callers {
			go func() {
				time.Sleep(time.Duration(i) * time.Millisecond)
				called := time.Now()
				began, err := s.Do(t.Context())
				assert.Check(t, err == nil && !began.Before(called), "called %s after the read began", called.Sub(began))
				done <- struct{}{}
			}()
		}
		for range callers {
			<-done
		}
		assert.Equal(t, reads.Load(), int64(2))
	})
}

// Guards against a caller that waits for a read longer than it may, and against an error
// that is lost.
func TestCallEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		failed := errors.New("no majority")
		s := New(func() (int, error) {
			time.Sleep(time.Second) // virtual time
			return 7, failed
		})
		ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		defer cancel()
		_, err := s.Do(ctx)
		assert.ErrorIs(t, err, context.DeadlineExceeded)
		_, err = s.Do(t.Context())
		assert.ErrorIs(t, err, failed)
	})
}
