package router

import (
	"context"
	"time"

	"jackdawtrack.example/jackdawtrack/pkg/membership"
	"jackdawtrack.example/jackdawtrack/pkg/ownership"
	"jackdawtrack.example/jackdawtrack/pkg/pool"
)

// leaveTimeout bounds the farewell to the other routers.
const leaveTimeout = 2 * membership.LeaveTime

// joined is a router's part in the membership, nil for a fixed list of peers.
type joined struct {
	node  *membership.Node
	owner *ownership.Shared
	gone  map[string]uint64 // incarnation that was last seen dead, by name
}

// join opens the membership socket. The peer listener must be open.
func (s *Service) join(self pool.RouterID, owner *ownership.Shared) error {
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
		Seeds: seeds,
		Key:   []byte(s.cfg.MembershipKey),
		Seed:  self.Incarnation,
	})
	if err != nil {
		return err
	}
	s.members = &joined{node: node, owner: owner, gone: make(map[string]uint64)}
	return nil
}

// followMembers passes changes of the membership on until ctx ends.
func (s *Service) followMembers(ctx context.Context) {
	changed := s.members.node.Subscribe()
	for {
		s.takeMembers()
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

func (s *Service) takeMembers() {
	list := s.members.node.Members()
	s.members.owner.Update(list)
	s.exchange.SetPeers(peersOf(list, s.cfg.Name))
	for _, m := range list {
		if m.Live() {
			delete(s.members.gone, m.Name)
			continue
		}
		if s.members.gone[m.Name] != m.Incarnation {
			s.members.gone[m.Name] = m.Incarnation
			s.router.Lost(m.Name)
			// If the router runs after all, it asks and reports anew.
			s.exchange.Reset(m.Name)
		}
	}
}

// drainMembership lets the shards of this router move to others.
func (s *Service) drainMembership() {
	if s.members == nil {
		return
	}
	s.members.node.SetDraining(true)
}

// leaveMembership tells the other routers that this one ends.
func (s *Service) leaveMembership(hard context.Context) {
	if s.members == nil {
		return
	}
	ctx, cancel := context.WithTimeout(hard, leaveTimeout)
	defer cancel()
	s.members.node.Leave(ctx)
}

// handoverWait bounds the wait of a shutdown until its shards have moved.
const handoverWait = 3 * time.Second

// awaitHandover waits until this router owns no shard that another can own.
func (s *Service) awaitHandover(ctx context.Context) {
	limited, cancel := context.WithTimeout(ctx, handoverWait)
	defer cancel()
	tick := time.NewTicker(drainPoll)
	defer tick.Stop()
	for s.ownsMovable() {
		select {
		case <-limited.Done():
			return
		case <-tick.C:
		}
	}
}

func (s *Service) ownsMovable() bool {
	for _, o := range s.router.ownedShards() {
		owner, _, ok := s.router.ownership.Owner(o.id)
		if ok && owner.Name != s.cfg.Name {
			return true
		}
	}
	return false
}
