package router

import (
	"context"
	"time"

	"jackdawtrack.example/jackdawtrack/pkg/logging"
	"jackdawtrack.example/jackdawtrack/pkg/proxy"
)

// answerTime bounds the time to answer the open requests of a router that stops. It
// covers writing a response to each.
const answerTime = 500 * time.Millisecond

// answerOpen ends the open requests: waiting ones are refused as not run, running ones
// get an error, streams an error event.
func (s *Service) answerOpen() {
	s.router.Close()
	s.endRequests(proxy.ErrStopping)
	if len(s.httpServers) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), answerTime)
	defer cancel()
	open := s.router.openRequests.Load()
	if err := s.httpServers[0].Shutdown(ctx); err != nil || open > 0 {
		logging.ForComponent("router").Warnf("stopped with %d open requests, %d were cut without an answer", open, s.router.openRequests.Load())
	}
}
