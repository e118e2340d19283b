package edge

import (
	"context"
	"time"

	"jackdawtrack.example/jackdawtrack/pkg/result"
)

// startDelayFraction times the rest of its objective is the longest delay of a request by
// an overloaded host. An engine needs the other part.
const startDelayFraction = 0.5

// shed returns an error if this host is overloaded and refuses the request, and sets the
// delay of a request that it accepts.
func (s *Server) shed(in *Request) *result.Error {
	left := in.objective() - in.dest.attemptAge
	delay, accepted := s.loadShedder.admit(&shedAttempt{
		workspace: in.dest.workspace, promptTokens: in.PromptTokens, retry: in.dest.attemptAge > 0,
		delayLimit: time.Duration(startDelayFraction * float64(left)),
	})
	if !accepted {
		return errHostBusy
	}
	in.startDelay = delay
	return nil
}

// awaitStart waits until a request that an overloaded host delays may begin, or until the
// caller leaves.
func (in *Request) awaitStart(ctx context.Context) {
	delay := time.Until(in.Arrived.Add(in.startDelay))
	if in.startDelay == 0 || delay <= 0 {
		return
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
