package control

import (
	"context"
	"time"

	"google.golang.org/grpc"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/pkg/catalog"
	"jackdawtrack.example/jackdawtrack/pkg/result"
)

// Read implements apiv1.ControlServer. Key hashes are part of the answer.
func (s *Server) Read(ctx context.Context, _ *apiv1.ReadRequest) (*apiv1.Snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	if err := s.log.ReadBarrier(ctx); err != nil {
		return nil, s.fail(ctx, err)
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
	first := true
	confirmed := func(ctx context.Context) bool {
		if first {
			first = false
			return s.confirmNow(ctx)
		}
		return s.confirmShared()
	}
	err := catalog.ServeWatch(ctx, s.state.store, in.GetAfterRevision(), confirmed, stream.Send)
	select {
	case <-s.stopping:
		return s.ShuttingDown(stream.Context())
	default:
		return err
	}
}

// ShuttingDown returns the error of a call to a host that is about to stop.
// Clients turn to another host.
func (s *Server) ShuttingDown(ctx context.Context) error {
	return s.fail(ctx, result.New(result.ShuttingDown, "the control host is shutting down"))
}

// confirmNow asks a majority whether the applied revision is old. A router
// that restarted relies on it, so an earlier confirmation does not do.
func (s *Server) confirmNow(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, firstBarrierLimit)
	defer cancel()
	return s.log.ReadBarrier(ctx) == nil
}

// confirmShared returns a confirmation that all watch streams share.
func (s *Server) confirmShared() bool {
	s.mu.Lock()
	at, ok := s.barrierAt, s.barrierOK
	s.mu.Unlock()
	if time.Since(at) < barrierLimit {
		return ok
	}
	v, _, _ := s.barrier.Do("", func() (any, error) {
		ctx, cancel := context.WithTimeout(context.Background(), barrierLimit)
		defer cancel()
		ok := s.log.ReadBarrier(ctx) == nil
		s.mu.Lock()
		defer s.mu.Unlock()
		s.barrierAt, s.barrierOK = time.Now(), ok
		return ok, nil
	})
	return v.(bool)
}

// Status implements apiv1.ControlServer. It tells the view of this host and
// needs no majority.
func (s *Server) Status(context.Context, *apiv1.StatusRequest) (*apiv1.StatusResponse, error) {
	status := s.log.Status()
	out := &apiv1.StatusResponse{
		Id: status.ID, Leader: status.Leader, LeaderAddress: status.LeaderAddress, Term: status.Term,
		Commit: status.Commit, Applied: status.Applied, Revision: s.state.store.Revision(),
		IdempotencyRecords: uint64(s.state.records()),
	}
	for _, m := range status.Members {
		out.Members = append(out.Members, &apiv1.Member{Id: m.ID, Address: m.Address, Voter: m.Voter, Match: m.Match})
	}
	return out, nil
}
