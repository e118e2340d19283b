package router

import (
	"context"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"jackdawtrack.example/jackdawtrack/pkg/catalog"
	"jackdawtrack.example/jackdawtrack/pkg/settings"
)

// TestRelayTree checks that no router serves more watch streams than
// relayFanOut and that routers do not watch each other in a cycle.
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

// TestRouterWithoutConfigurationHasNoRelay checks that a restarted router
// receives its first configuration from control. A relay may be behind the
// revision that the router had applied before.
func TestRouterWithoutConfigurationHasNoRelay(t *testing.T) {
	store := catalog.NewStore()
	s := &Service{cfg: &Config{Name: "rt-3", DataCentre: "north"}, store: store, members: &membershipState{}}
	assert.Equal(t, len(s.upstreams()), 0)
}

// TestRestartedRouterAdoptsGreatestRevision checks that a restarted router
// takes the latest configuration from the routers of its data centre while
// control cannot be reached.
func TestRestartedRouterAdoptsGreatestRevision(t *testing.T) {
	t.Parallel()
	start := func(name string, revision uint64, seeds ...settings.Address) *Service {
		return runService(t, name, revision, func(cfg *Config) { cfg.Seeds = seeds })
	}
	first := start("rt-1", 3)
	seed := settings.Address(first.members.node.Self().GossipAddress)
	start("rt-2", 5, seed)
	restarted := start("rt-3", 0, seed)
	(&testRouter{}).waitFor(t, "the configuration is applied", func() bool { return restarted.store.Load() != nil })
	assert.Equal(t, restarted.store.Revision(), uint64(5))
	(&testRouter{}).waitFor(t, "a router with a configuration has relays", func() bool { return len(restarted.upstreams()) > 0 })
	(&testRouter{}).waitFor(t, "the routers are connected", func() bool { return restarted.exchange.Connected("rt-1") })
}

// runService runs a router on free ports. It has the test configuration unless
// revision is 0.
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
