package router

import (
	"context"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"jackdawtrack.example/jackdawtrack/pkg/catalog"
	"jackdawtrack.example/jackdawtrack/pkg/settings"
)

// Guards against a router that serves more watch streams than the fan-out, and
// against a cycle of routers that watch each other.
func TestRelayTree(t *testing.T) {
	const routers = 60
	var names, addresses []string
	for i := range routers {
		names = append(names, fmt.Sprintf("rt-%02d", i))
		addresses = append(addresses, fmt.Sprint(i))
	}
	children := make(map[string]int)
	for i, name := range names {
		parents := relayParents(names, addresses, name)
		assert.Equal(t, len(parents) == 0, i < relayRoots)
		if i < relayRoots {
			continue
		}
		children[parents[0]]++
		for _, p := range parents {
			var at int
			_, err := fmt.Sscan(p, &at)
			assert.NilError(t, err)
			assert.Assert(t, at < i, "router %d watches router %d", i, at)
		}
	}
	for parent, n := range children {
		assert.Assert(t, n <= relayFanOut, "router %s has %d children", parent, n)
	}
}

// Guards against a restarted router that goes back a revision: a relay can be
// behind what the router had applied, so the first configuration comes from
// control.
func TestRouterWithoutConfigurationHasNoRelay(t *testing.T) {
	store := catalog.NewStore()
	s := &Service{cfg: &Config{Name: "rt-3", DataCentre: "north"}, store: store, members: &joined{}}
	assert.Equal(t, len(s.upstreams()), 0)
}

// Guards against a restarted router that stays without a configuration, or
// takes an old one, while its data centre is cut off from control.
func TestRestartedRouterAdoptsGreatestRevision(t *testing.T) {
	t.Parallel()
	start := func(name string, revision uint64, seeds ...settings.Address) *Service {
		return runService(t, name, revision, func(cfg *Config) { cfg.Seeds = seeds })
	}
	old := start("rt-1", 3)
	seed := settings.Address(old.members.node.Self().GossipAddress)
	start("rt-2", 5, seed)
	restarted := start("rt-3", 0, seed)
	(&fleet{}).await(t, "the configuration is taken", func() bool { return restarted.store.Load() != nil })
	assert.Equal(t, restarted.store.Revision(), uint64(5))
	(&fleet{}).await(t, "a router with a configuration has relays", func() bool { return len(restarted.upstreams()) > 0 })
	(&fleet{}).await(t, "the routers are connected", func() bool { return restarted.exchange.Connected("rt-1") })
}

// runService runs a router on kernel ports, with the test configuration unless
// the revision is 0.
func runService(t *testing.T, name string, revision uint64, change func(*Config)) *Service {
	t.Helper()
	cfg := NewConfig()
	cfg.Name, cfg.DataCentre = name, "north"
	const any = "127.0.0.1:0"
	cfg.Listen = Listen{Callers: any, Announce: any, Peers: any, Membership: any, Admin: any}
	cfg.Drain.Notice = 0
	change(cfg)
	s, err := NewService(cfg)
	assert.NilError(t, err)
	if revision > 0 {
		s.store.ApplySnapshot(revision, configuration())
	}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = s.Run(ctx, context.Background()) }()
	t.Cleanup(func() { stop(); <-done })
	return s
}
