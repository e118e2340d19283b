package edge

import (
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"jackdawtrack.example/jackdawtrack/pkg/dispatch"
	"jackdawtrack.example/jackdawtrack/pkg/losses"
	"jackdawtrack.example/jackdawtrack/pkg/quarantine"
)

// beginTime is the time from the first event within which a lost connection still
// counts as lost at the begin of the answer.
const beginTime = 250 * time.Millisecond

// recordLostConnection collects an attempt whose connection was lost, and has the
// server checked after the first one.
func (x *proxiedRequest) recordLostConnection(v dispatch.Decision) {
	x.addLostConnection(v, x.attemptStartedAt, x.sseParser.count > x.eventsBefore && time.Since(x.firstEventAt) > beginTime)
}

// addLostConnection does so for an attempt that began at the given time.
func (x *proxiedRequest) addLostConnection(v dispatch.Decision, sent time.Time, begun bool) {
	server := processOf(v)
	if l := x.s.losses.Add(time.Now(), server, losses.Request{Suspects: x.suspects, Sent: sent, Begun: begun, Further: !begun && x.markLost()}); l != nil {
		go x.s.checkLoss(l)
	}
}

// markLost records that an attempt was lost with its server, and reports whether one was
// before. A second attempt beside the first may be lost at the same time.
func (x *proxiedRequest) markLost() (before bool) {
	x.s.mu.Lock()
	defer x.s.mu.Unlock()
	before, x.wasLost = x.wasLost, true
	return before
}

// checkLoss finds out whether a server process has ended.
func (s *Server) checkLoss(l *losses.Loss) {
	ended := losses.HasEnded(s.ctx, l.Address, connectTimeout)
	if ended {
		s.recordEnd(l.Process)
	}
	confirmed := s.losses.Finish(l, ended)
	s.logLoss(l, ended, "connection check")
	if confirmed {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.addLoss(time.Now(), l)
	}
}

// processOf returns the process that the decision chose.
func processOf(v dispatch.Decision) losses.Process {
	return losses.Process{ID: v.Server, Address: v.Address, StartMS: v.StartMS}
}

// recordEnd records that a server process has ended.
func (s *Server) recordEnd(p losses.Process) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dispatcher.RecordEnd(time.Now(), p.ID, p.StartMS)
}

// logLoss logs how many requests were lost with a server, and whether its process
// has ended.
func (s *Server) logLoss(l *losses.Loss, ended bool, source string) {
	requests := make([]uint64, 0, len(l.Requests))
	for _, r := range l.Requests {
		requests = append(requests, r.Request)
	}
	s.log.WithFields(logrus.Fields{
		"server": l.ID, "born_ms": l.StartMS, "address": l.Address, "ended": ended, "source": source, "age_ms": time.Since(l.At).Milliseconds(),
		"begun": l.Begun, "not_begun": l.NotBegun, "parts": quarantine.FormatList(slices.Sorted(maps.Keys(l.Parts))), "requests": quarantine.FormatList(requests),
	}).Info("connections to a server lost")
}

// watchServer records an attempt whose caller left before the answer began, and has the
// server checked.
func (x *proxiedRequest) watchServer(v dispatch.Decision) {
	server := processOf(v)
	if x.s.left.Add(time.Now(), server, losses.Request{Suspects: x.suspects, Sent: x.attemptStartedAt, Further: x.markLost()}) {
		go x.s.checkLeft(server)
	}
}

// checkLeft checks a server process until it has ended or the requests whose callers left
// are old. If it has ended, they are lost with it.
func (s *Server) checkLeft(server losses.Process) {
	for again := true; again && s.ctx.Err() == nil; {
		select {
		case <-s.ctx.Done():
			return
		case <-time.After(losses.WatchTime - losses.CollectTime):
		}
		began := time.Now().Add(losses.CollectTime)
		ended := losses.HasEnded(s.ctx, server.Address, connectTimeout)
		if ended {
			s.recordEnd(server)
		}
		var lost []losses.Request
		lost, again = s.left.Take(began, server, ended)
		for _, r := range lost {
			if l := s.losses.Add(time.Now(), server, r); l != nil {
				go s.checkLoss(l)
			}
		}
	}
}
