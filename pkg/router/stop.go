package router

import (
	"context"
	"sync"
	"time"

	"jackdawtrack.example/jackdawtrack/pkg/callers"
	"jackdawtrack.example/jackdawtrack/pkg/logging"
	"jackdawtrack.example/jackdawtrack/pkg/proxy"
)

// answerTime bounds the time to answer the open requests of a router that stops. It
// covers writing a response to each.
const answerTime = 500 * time.Millisecond

// operatorTime bounds the wait for calls of servers and operators at a stop.
const operatorTime = time.Second

// answerOpen ends the open requests: waiting ones are refused as not run, running ones
// get an error, streams an error event.
func (s *Service) answerOpen() {
	if len(s.conns) > 0 {
		s.conns[0].RecordOpen(callers.OpenAtCut)
		defer s.conns[0].RecordOpen(callers.OpenAtEnd)
	}
	s.router.Close()
	s.endRequests(proxy.ErrStopping)
	if len(s.httpServers) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), answerTime)
	defer cancel()
	open := s.router.openRequests.Load()
	if err := s.closeCallers(ctx, 0); err != nil || open > 0 {
		logging.ForComponent("router").Warnf("stopped with %d open requests, %d were cut without an answer", open, s.router.openRequests.Load())
	}
}

// closeCallers closes the listener for callers, and their connections once no request
// is in progress on them and they are idle for longer than limit.
func (s *Service) closeCallers(ctx context.Context, limit time.Duration) error {
	return closeConns(ctx, s.conns[0], limit)
}

// closeConns accepts the connections in the queue of the listener for at least answerTime: a
// router without processor time gets there when ctx has ended.
func closeConns(ctx context.Context, conns *callers.ConnTracker, limit time.Duration) error {
	left := answerTime
	if end, ok := ctx.Deadline(); ok {
		left = max(left, time.Until(end))
	}
	acceptCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), left)
	defer cancel()
	conns.StopAccepting(acceptCtx)
	return conns.WaitClosed(ctx, limit)
}

// answerOperators closes the listeners for announcements and operators once their calls
// in progress have ended, or after operatorTime.
func (s *Service) answerOperators() {
	if len(s.conns) == 0 {
		return
	}
	s.conns[0].End()
	ctx, cancel := context.WithTimeout(context.Background(), operatorTime)
	defer cancel()
	var open sync.WaitGroup
	for _, conns := range s.conns[1:] {
		open.Go(func() {
			if err := closeConns(ctx, conns, 0); err != nil {
				logging.ForComponent("router").Warnf("stopped with %d open connections of servers or operators", conns.CutCount())
			}
			conns.RecordOpen(callers.OpenAtEnd)
			conns.End()
		})
	}
	open.Wait()
}
