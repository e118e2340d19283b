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
	// relayRoots is the number of routers of a data centre that watch control
	// hosts. The others watch routers, which limits the streams that control
	// serves.
	relayRoots = 2
	// relayFanOut is the maximum number of watch streams that one router
	// serves.
	relayFanOut = 8
	// maxConfirmationAge is the age up to which a relay passes on that a
	// majority of control confirmed its configuration.
	maxConfirmationAge = 3 * time.Second
	// adoptInterval is how often a router without a configuration, which has
	// not reached control, asks the routers of its data centre for theirs.
	adoptInterval = 5 * time.Second
	adoptTimeout  = time.Second
)

// relay serves the configuration of this router as a watch stream to other
// routers of its data centre.
type relay struct {
	apiv1.UnimplementedControlServer
	store     *catalog.Store
	confirmed func(context.Context) bool
}

// Watch implements the Control service. All other methods are unimplemented.
func (x *relay) Watch(in *apiv1.WatchRequest, stream grpc.ServerStreamingServer[apiv1.WatchEvent]) error {
	return catalog.ServeWatch(stream.Context(), x.store, in.AfterRevision, x.confirmed, stream.Send)
}

func (s *Service) newRelay() *relay {
	return &relay{store: s.store, confirmed: func(context.Context) bool {
		return s.control != nil && s.control.ConfirmedWithin(maxConfirmationAge)
	}}
}

// upstreams returns the addresses of the routers that this one watches, in
// order of preference. It returns none for a root, which watches control, and
// none for a router without a configuration: a relay may be maxConfirmationAge
// behind the revision that this router had before a restart, so the first
// configuration must come from control.
func (s *Service) upstreams() []string {
	if s.members == nil || s.store.Load() == nil {
		return nil
	}
	var names, addresses []string
	for _, m := range s.members.node.Members() {
		if m.Role == memberRole && m.DataCentre == s.cfg.DataCentre && m.IsLive() && !m.Draining {
			names = append(names, m.Name)
			addresses = append(addresses, m.PeerAddress)
		}
	}
	return relayParents(names, addresses, s.cfg.Name)
}

// relayParents arranges the routers as a tree in the order of their names and
// returns the addresses of the parents of self. The first relayRoots routers
// are roots, and each router has up to relayFanOut children.
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

// runConfigurationAdoption takes the configuration from routers of the data
// centre until the router has one. A data centre that is cut off from control
// thus keeps its configuration as long as one router has it.
func (s *Service) runConfigurationAdoption(ctx context.Context) {
	tick := time.NewTicker(adoptInterval)
	defer tick.Stop()
	for s.store.Load() == nil {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if s.store.Load() == nil {
			s.adoptConfiguration(ctx)
		}
	}
}

// adoptConfiguration asks all routers of the data centre and applies the
// configuration with the highest revision.
func (s *Service) adoptConfiguration(ctx context.Context) {
	timeoutCtx, cancel := context.WithTimeout(ctx, adoptTimeout)
	defer cancel()
	addresses := s.localRouterAddresses()
	events := make([]*apiv1.WatchEvent, len(addresses))
	var group errgroup.Group
	for i, address := range addresses {
		group.Go(func() error {
			events[i] = s.fetchConfiguration(timeoutCtx, address)
			return nil
		})
	}
	_ = group.Wait() // the functions return no errors
	var best *apiv1.WatchEvent
	for _, e := range events {
		if e != nil && len(e.Changes) > 0 && e.Revision > best.GetRevision() {
			best = e
		}
	}
	if best != nil && s.store.ApplySnapshot(best.Revision, best.Changes) {
		s.router.log.Warnf("no control host answers: applied revision %d from a router of data centre %s", best.Revision, s.cfg.DataCentre)
	}
}

// localRouterAddresses returns the peer addresses of the other routers of the
// data centre.
func (s *Service) localRouterAddresses() []string {
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
		if m.Role == memberRole && m.DataCentre == s.cfg.DataCentre && m.IsLive() && m.Name != s.cfg.Name {
			out = append(out, m.PeerAddress)
		}
	}
	return out
}

// fetchConfiguration returns the whole configuration of a router. It returns
// nil if the router has none or does not answer.
func (s *Service) fetchConfiguration(ctx context.Context, address string) *apiv1.WatchEvent {
	conn, err := controlclient.Dial(address, s.peerDialOptions...)
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
