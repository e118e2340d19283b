package router

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/pkg/catalog"
	"jackdawtrack.example/jackdawtrack/pkg/controlclient"
)

const (
	// relayRoots routers of a data centre watch control hosts; the others
	// watch routers, so that control serves few streams.
	relayRoots = 2
	// relayFanOut bounds the streams that one router serves.
	relayFanOut = 8
	// confirmedWithin is the age up to which a relay passes a confirmation on.
	confirmedWithin = 3 * time.Second
	// adoptAfter is the time without control after which a router that
	// restarted with nothing asks the routers of its data centre.
	adoptAfter   = 5 * time.Second
	adoptTimeout = time.Second
)

// relay serves the watch stream of this router to others of its data centre.
type relay struct {
	apiv1.UnimplementedControlServer
	store     *catalog.Store
	confirmed func(context.Context) bool
}

// Watch implements the Control service. The other methods are refused.
func (x *relay) Watch(in *apiv1.WatchRequest, stream grpc.ServerStreamingServer[apiv1.WatchEvent]) error {
	return catalog.ServeWatch(stream.Context(), x.store, in.AfterRevision, x.confirmed, stream.Send)
}

func (s *Service) newRelay() *relay {
	return &relay{store: s.store, confirmed: func(context.Context) bool {
		return s.control != nil && s.control.Confirmed(confirmedWithin)
	}}
}

// upstreams returns the routers that this one watches, best first; none for a
// root, which watches control. Nor has a router without a configuration any: a
// relay can be confirmedWithin behind what this router applied before it
// restarted, so its first configuration comes from control.
func (s *Service) upstreams() []string {
	if s.members == nil || s.store.Load() == nil {
		return nil
	}
	var names, addresses []string
	for _, m := range s.members.node.Members() {
		if m.Role == memberRole && m.DataCentre == s.cfg.DataCentre && m.Live() && !m.Draining {
			names = append(names, m.Name)
			addresses = append(addresses, m.PeerAddress)
		}
	}
	return relayParents(names, addresses, s.cfg.Name)
}

// relayParents arranges routers in the order of their names as a tree: the
// roots first, then relayFanOut children for each one.
func relayParents(names, addresses []string, self string) []string {
	for i, name := range names {
		if name != self || i < relayRoots {
			continue
		}
		parent := (i - relayRoots) / relayFanOut
		out := []string{addresses[parent]}
		if other := (parent + 1) % relayRoots; other != parent {
			out = append(out, addresses[other])
		}
		return out
	}
	return nil
}

// adoptLoop takes the configuration from routers of the data centre while no
// control host has given one. A configuration therefore survives in a
// partitioned data centre as long as one router has kept it.
func (s *Service) adoptLoop(ctx context.Context) {
	tick := time.NewTicker(adoptAfter)
	defer tick.Stop()
	for s.store.Load() == nil {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if s.store.Load() == nil {
			s.adopt(ctx)
		}
	}
}

// adopt asks all routers of the data centre and takes the greatest revision.
func (s *Service) adopt(ctx context.Context) {
	limited, cancel := context.WithTimeout(ctx, adoptTimeout)
	defer cancel()
	addresses := s.neighbours()
	events := make([]*apiv1.WatchEvent, len(addresses))
	var group errgroup.Group
	for i, address := range addresses {
		group.Go(func() error {
			events[i] = s.firstEvent(limited, address)
			return nil
		})
	}
	_ = group.Wait() // its functions return nil
	var best *apiv1.WatchEvent
	for _, e := range events {
		if e != nil && len(e.Changes) > 0 && e.Revision > best.GetRevision() {
			best = e
		}
	}
	if best != nil && s.store.ApplySnapshot(best.Revision, best.Changes) {
		s.router.log.Warnf("no control host answers: took revision %d from a router of %s", best.Revision, s.cfg.DataCentre)
	}
}

func (s *Service) neighbours() []string {
	var out []string
	if s.members == nil {
		for _, p := range s.cfg.Peers {
			if p.DataCentre == s.cfg.DataCentre {
				out = append(out, string(p.Address))
			}
		}
		return out
	}
	for _, m := range s.members.node.Members() {
		if m.Role == memberRole && m.DataCentre == s.cfg.DataCentre && m.Live() && m.Name != s.cfg.Name {
			out = append(out, m.PeerAddress)
		}
	}
	return out
}

// firstEvent returns the whole configuration of a router, nil if it has none
// or does not answer.
func (s *Service) firstEvent(ctx context.Context, address string) *apiv1.WatchEvent {
	conn, err := controlclient.Dial(address, s.dial...)
	if err != nil {
		return nil
	}
	defer conn.Close()
	stream, err := apiv1.NewControlClient(conn).Watch(ctx, &apiv1.WatchRequest{Router: s.cfg.Name, DataCentre: s.cfg.DataCentre})
	if err != nil {
		return nil
	}
	event, err := stream.Recv()
	if err != nil {
		return nil
	}
	return event
}
