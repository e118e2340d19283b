package edge

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"jackdawtrack.example/jackdawtrack/pkg/dispatch"
	"jackdawtrack.example/jackdawtrack/pkg/proxy"
	"jackdawtrack.example/jackdawtrack/pkg/release"
)

// What an announcement says of a server is late by seconds: another process may answer at its
// address. A connection leads to one process as long as it lives, so engines are asked on each
// new one which process they are. Then the release of a stream is that of the process that has
// written it, and no later announcement puts it in doubt.

// identifyProcess returns the context of a request whose server is asked on a new connection
// which process it is. Only engines answer that, and services without streams that can go on
// need no proof.
func (s *Server) identifyProcess(ctx context.Context, service string, i *proxy.Identification) context.Context {
	table := s.table.Load()
	if table == nil || !table.HasResumableStreams(service) {
		return ctx
	}
	if known := table.Service(service); known == nil || known.Engine == nil {
		return ctx
	}
	return proxy.WithIdentification(ctx, i)
}

// wantedProcess returns the start of the only process that may get the request: a stream that
// goes on needs the release that the server of the decision has announced.
func wantedProcess(v dispatch.Decision, r *dispatch.Request) int64 {
	if r.Release == release.Unknown {
		return 0
	}
	return v.StartMS
}

// releaseOf returns the release that answers the exchange, release.Unknown if that is not known.
// The caller must hold mu.
func (s *Server) releaseOf(e *serverExchange) release.ID {
	startMS := e.process.StartMS()
	switch {
	case startMS == 0 || e.decision.StartMS == 0:
		return s.releaseOnArrival(e.decision)
	case startMS == e.decision.StartMS:
		return e.decision.Release
	}
	known, ok := s.fleetView.servers.Get(e.decision.Server)
	if ok && known.StartMS == startMS {
		return known.Release
	}
	s.log.WithFields(logrus.Fields{"server": e.decision.Server, "born_ms": startMS, "announced_born_ms": e.decision.StartMS}).Info("stream begins at a process that has not announced itself")
	return release.Unknown
}

// recordOtherProcess records that a request was not sent because another process than the
// announced one answers at the address of the server.
func (s *Server) recordOtherProcess(v dispatch.Decision, err error) {
	if !errors.Is(err, proxy.ErrOtherProcess) {
		return
	}
	s.metrics.otherProcess.Inc(1)
	s.log.WithFields(logrus.Fields{"server": v.Server, "address": v.Address, "announced_born_ms": v.StartMS}).Info("stream does not go on at a server, because its process has not announced itself")
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dispatcher.RecordOtherProcess(time.Now(), v.Server, v.StartMS)
}
