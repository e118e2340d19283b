package control

import (
	"context"
	"time"

	"google.golang.org/grpc"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/pkg/catalog"
	"jackdawtrack.example/jackdawtrack/pkg/result"
)

// Read implements apiv1.ControlServer. The response includes key hashes.
func (s *Server) Read(ctx context.Context, _ *apiv1.ReadRequest) (*apiv1.Snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := s.log.ReadBarrier(ctx); err != nil {
		return nil, s.grpcError(ctx, err)
	}
	c := s.state.store.Load()
	return &apiv1.Snapshot{Revision: c.Revision(), Items: c.Items()}, nil
}

// Watch implements apiv1.ControlServer.
func (s *Server) Watch(in *apiv1.WatchRequest, stream grpc.ServerStreamingServer[apiv1.WatchEvent]) error {
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	s.watchers.Inc(1)
	defer s.watchers.Dec(1)
	go func() {
		select {
		case <-s.stopping:
			cancel()
		case <-ctx.Done():
		}
	}()
	isFirst := true
	confirm := func(ctx context.Context) bool {
		if isFirst {
			isFirst = false
			return s.confirmRevision(ctx)
		}
		return s.confirmRevisionShared()
	}
	err := catalog.ServeWatch(ctx, s.state.store, in.GetAfterRevision(), confirm, stream.Send)
	select {
	case <-s.stopping:
		return s.ShuttingDown(stream.Context())
	default:
		return err
	}
}

// ShuttingDown returns the error of calls to a host that is shutting down.
// Clients retry at another host.
func (s *Server) ShuttingDown(ctx context.Context) error {
	return s.grpcError(ctx, result.New(result.ShuttingDown, "the control host is shutting down"))
}

// confirmRevision runs a read barrier, so that the applied revision is current.
// A restarted router depends on it, so an earlier result must not be reused.
func (s *Server) confirmRevision(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, barrierTimeout)
	defer cancel()
	return s.log.ReadBarrier(ctx) == nil
}

// confirmRevisionShared returns the result of a read barrier that all watch
// streams share.
func (s *Server) confirmRevisionShared() bool {
	s.mu.Lock()
	at, ok := s.lastBarrierAt, s.lastBarrierOK
	s.mu.Unlock()
	if time.Since(at) < sharedBarrierTimeout {
		return ok
	}
	v, _, _ := s.barrierCalls.Do("", func() (any, error) {
		ctx, cancel := context.WithTimeout(context.Background(), sharedBarrierTimeout)
		defer cancel()
		ok := s.log.ReadBarrier(ctx) == nil
		s.mu.Lock()
		defer s.mu.Unlock()
		s.lastBarrierAt, s.lastBarrierOK = time.Now(), ok
		return ok, nil
	})
	return v.(bool)
}

// Status implements apiv1.ControlServer. It returns this host's own view and
// needs no majority.
func (s *Server) Status(context.Context, *apiv1.StatusRequest) (*apiv1.StatusResponse, error) {
	status := s.log.Status()
	out := &apiv1.StatusResponse{
		Id: status.ID, Leader: status.Leader, LeaderAddress: status.LeaderAddress, Term: status.Term,
		Commit: status.Commit, Applied: status.Applied, Revision: s.state.store.Revision(),
		IdempotencyRecords: uint64(s.state.recordCount()),
	}
	for _, m := range status.Members {
		out.Members = append(out.Members, &apiv1.Member{Id: m.ID, Address: m.Address, Voter: m.Voter, Match: m.Match})
	}
	return out, nil
}
