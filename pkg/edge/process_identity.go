package edge

import (
	"context"

	"github.com/sirupsen/logrus"

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
