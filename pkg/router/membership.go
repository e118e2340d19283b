package router

import (
	"context"
	"time"

	"jackdawtrack.example/jackdawtrack/pkg/membership"
	"jackdawtrack.example/jackdawtrack/pkg/ownership"
	"jackdawtrack.example/jackdawtrack/pkg/pool"
)

// leaveTimeout limits the time to tell the other routers that this one leaves.
const leaveTimeout = 2 * membership.LeavePropagationTime

// membershipState is the membership of a router. It is nil if the settings list
// the peers.
type membershipState struct {
	node             *membership.Node
	owner            *ownership.ConcurrentTracker
	deadIncarnations map[string]uint64 // last incarnation of each member that was dead or had left
}

// joinMembership opens the membership socket. The peer listener must be open, because its
// address is announced.
func (s *Service) joinMembership(self pool.RouterID, owner *ownership.ConcurrentTracker) error {
	_, _, admin, peers := s.Addresses()
	seeds := make([]string, 0, len(s.cfg.Seeds))
	for _, a := range s.cfg.Seeds {
		seeds = append(seeds, string(a))
	}
	node, err := membership.New(membership.Config{
		Self: membership.Member{
			Name:          self.Name,
			DataCentre:    self.DataCentre,
			Role:          memberRole,
			Incarnation:   self.Incarnation,
			GossipAddress: string(s.cfg.Listen.Membership),
			PeerAddress:   peers,
			AdminAddress:  admin,
		},
		Seeds:      seeds,
		Key:        []byte(s.cfg.MembershipKey),
		RandomSeed: self.Incarnation,
	})
	if err != nil {
		return err
	}
	s.members = &membershipState{node: node, owner: owner, deadIncarnations: make(map[string]uint64)}
	return nil
}

// watchMembers applies membership changes until ctx ends.
func (s *Service) watchMembers(ctx context.Context) {
	changed := s.members.node.Subscribe()
	for {
		s.applyMembers()
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// applyMembers passes the member list to the ownership and the exchange, and
// ends the asks and grants of routers that are dead or have left.
func (s *Service) applyMembers() {
	memberList := s.members.node.Members()
	s.members.owner.Update(memberList)
	s.exchange.SetPeers(exchangePeers(memberList, s.cfg.Name))
	for _, m := range memberList {
		if m.IsLive() {
			delete(s.members.deadIncarnations, m.Name)
			continue
		}
		if s.members.deadIncarnations[m.Name] != m.Incarnation {
			s.members.deadIncarnations[m.Name] = m.Incarnation
			s.router.RouterLost(m.Name)
			// If the router is alive after all, the new connection makes it
			// send its asks and held grants again.
			s.exchange.ResetStream(m.Name)
		}
	}
}

// drainMembership marks this router as draining, so that its shards move to
// other routers.
func (s *Service) drainMembership() {
	if s.members == nil {
		return
	}
	s.members.node.SetDraining(true)
}

// leaveMembership tells the other routers that this one leaves.
func (s *Service) leaveMembership(hardStop context.Context) {
	if s.members == nil {
		return
	}
	ctx, cancel := context.WithTimeout(hardStop, leaveTimeout)
	defer cancel()
	s.members.node.Leave(ctx)
}

// handoverTimeout limits how long a shutdown waits until the shards have moved.
const handoverTimeout = 3 * time.Second

// awaitHandover waits until every shard that another router owns by now has
// been handed over.
func (s *Service) awaitHandover(ctx context.Context) {
	timeoutCtx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	tick := time.NewTicker(drainPollInterval)
	defer tick.Stop()
	for s.hasShardToHandOver() {
		select {
		case <-timeoutCtx.Done():
			return
		case <-tick.C:
		}
	}
}

// hasShardToHandOver reports whether this router still holds a shard that
// another router owns.
func (s *Service) hasShardToHandOver() bool {
	for _, o := range s.router.ownedShards() {
		owner, _, ok := s.router.ownership.Owner(o.id)
		if ok && owner.Name != s.cfg.Name {
			return true
		}
	}
	return false
}
