// Package core is one core host: it agrees with the others on the state of the
// fleet, takes the announcements of backend servers, and streams both to edge
// hosts.
package core

import (
	"context"
	"encoding/binary"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/pkg/feed"
	"jackdawtrack.example/jackdawtrack/pkg/fleet"
	"jackdawtrack.example/jackdawtrack/pkg/logging"
	"jackdawtrack.example/jackdawtrack/pkg/registry"
	"jackdawtrack.example/jackdawtrack/pkg/replica"
	"jackdawtrack.example/jackdawtrack/pkg/result"
)

const (
	// Timing of the consensus: a leader that is lost is replaced in 1 to 2 s,
	// inside the 4 s that an operator waits for an acknowledgement.
	tick           = 100 * time.Millisecond
	heartbeatTicks = 2
	electionTicks  = 9
	// expireInterval is how often old announcements are dropped.
	expireInterval = 5 * time.Second
	// forgetEdge is how long an edge host counts after its last stream ended.
	// It may only be cut off and still send to servers.
	forgetEdge = time.Minute
)

// Config of a Host. Name, DataCentre, Address, Folder and Voters must be set.
type Config struct {
	Name       string
	DataCentre string
	Address    string // IP and port for the other hosts of the fleet
	Folder     string
	// Seeds are the addresses of core hosts in the settings.
	Seeds []string
	// Bootstrap founds a new group from the seeds; set it at the very first
	// start of the whole fleet only.
	Bootstrap bool
	// Voters is the wanted number of voting members, 2f+1 to bear the loss of
	// f disks.
	Voters   int
	Registry metrics.Registry
	Dial     feed.Dial             // to other core hosts, TCP if nil
	Replica  func(*replica.Config) // changes the configuration in tests
}

// Host is one running core host. Locks: mu guards announcements, edges and
// places; no call to the replica or the network is made under it.
type Host struct {
	apiv1.UnimplementedFleetServer

	config  Config
	log     *logrus.Entry
	state   *fleet.State
	replica *replica.Replica
	server  *grpc.Server
	listen  net.Listener
	feed    *feed.Client
	callers callers
	stop    context.CancelFunc
	ctx     context.Context

	mu      sync.Mutex
	servers *registry.Registry
	edges   map[string]*edge
	places  map[string]string // data centre of core hosts by address
	urgent  chan struct{}     // closed when something changed that must go out at once
	edgeRev uint64            // number of the last change of an edge host
	vouched *feed.Vouched     // what other core hosts vouch for
	// oldestHeard is when the server that was silent longest of those that this
	// host vouches for was heard last, zero if it vouches for none.
	oldestHeard time.Time
}

// edge is an edge host that has or had a stream to this or another core host.
type edge struct {
	message *apiv1.EdgeHost
	changed uint64    // number of the last change that watchers need to know
	streams int       // open ones to this host
	seen    time.Time // last stream ended or was heard of
}

// ID returns the member id of a core host: its IPv4 address and port, so that
// a machine that comes back at its address keeps the id.
func ID(address string) (uint64, error) {
	a, err := netip.ParseAddrPort(address)
	if err != nil || !a.Addr().Unmap().Is4() {
		return 0, result.New(result.InvalidSettings, "%q is not an IPv4 address and port", address)
	}
	ip := a.Addr().Unmap().As4()
	return uint64(binary.BigEndian.Uint32(ip[:]))<<16 | uint64(a.Port()), nil
}

// Open recovers the folder, listens at the address and serves the other hosts
// until Close.
func Open(c Config) (*Host, error) {
	id, err := ID(c.Address)
	if err != nil {
		return nil, err
	}
	if c.Registry == nil {
		c.Registry = metrics.NewRegistry()
	}
	h := &Host{
		config: c, log: logging.For("core"), state: fleet.NewState(), servers: registry.New(),
		callers: callers{dial: c.Dial}, edges: map[string]*edge{}, places: map[string]string{}, urgent: make(chan struct{}),
		vouched: feed.NewVouched(),
	}
	h.ctx, h.stop = context.WithCancel(context.Background())
	if h.listen, err = net.Listen("tcp", c.Address); err != nil {
		return nil, result.Wrap(result.InvalidSettings, err, "address %s cannot be opened", c.Address)
	}
	if err := h.openReplica(id); err != nil {
		_ = h.listen.Close()
		return nil, err
	}
	h.server = grpc.NewServer(slices.Concat(replica.ServerOptions(), h.guards(), []grpc.ServerOption{grpc.MaxRecvMsgSize(maxCommandBytes)})...)
	h.replica.Register(h.server)
	apiv1.RegisterFleetServer(h.server, h)
	self := &apiv1.FleetWatcher{Name: c.Name, DataCentre: c.DataCentre, Address: c.Address, Incarnation: uint64(time.Now().UnixNano()), Core: true}
	h.feed = feed.New(h.ctx, self, c.Address, c.Dial, h)
	h.feed.SetSeeds(c.Seeds)
	go h.serve()
	go h.manage(h.ctx)
	go h.every(expireInterval, h.expire)
	go h.every(flushInterval, h.release)
	return h, nil
}

func (h *Host) openReplica(id uint64) error {
	c := h.config
	config := replica.Config{
		ID: id, Folder: c.Folder, Address: c.Address, Registry: c.Registry,
		Tick: tick, HeartbeatTicks: heartbeatTicks, ElectionTicks: electionTicks, Dial: c.Dial,
	}
	if c.Bootstrap {
		config.Bootstrap = founders(c.Seeds, c.Address)
	}
	if c.Replica != nil {
		c.Replica(&config)
	}
	var err error
	h.replica, err = replica.Open(config, h.state)
	return err
}

// founders returns the seeds as the first members if this host is one of them.
func founders(seeds []string, own string) []replica.Member {
	var out []replica.Member
	found := false
	for _, address := range seeds {
		id, err := ID(address)
		if err != nil {
			return nil
		}
		found = found || address == own
		out = append(out, replica.Member{ID: id, Address: address})
	}
	if !found {
		return nil
	}
	return out
}

func (h *Host) serve() {
	if err := h.server.Serve(h.listen); err != nil && h.ctx.Err() == nil {
		h.log.WithError(err).Error("the server for other hosts ended")
	}
}

// SetSeeds replaces the seeds after a change of the settings.
func (h *Host) SetSeeds(addresses []string) { h.feed.SetSeeds(addresses) }

// Done is closed when the replica has stopped; Err tells why.
func (h *Host) Done() <-chan struct{} { return h.replica.Done() }

// Err returns the error that stopped the replica.
func (h *Host) Err() error { return h.replica.Err() }

// Status describes the replica.
func (h *Host) Status() replica.Status { return h.replica.Status() }

// Close stops serving and releases the folder.
func (h *Host) Close() error {
	h.stop()
	h.server.Stop()
	h.callers.close()
	return h.replica.Close()
}

// Announce merges what a backend server said to this host.
func (h *Host) Announce(e registry.Entry) registry.Change {
	e.Direct = true
	h.mu.Lock()
	defer h.mu.Unlock()
	before, known := h.servers.Get(e.ID)
	change := h.servers.Offer(e)
	if change == registry.Modified {
		h.signal()
		h.log.WithFields(logrus.Fields{
			"server": e.ID, "service": e.Service, "address": e.Address, "state": e.State.String(), "before": before.State.String(),
			"known": known, "sequence": e.Sequence, "born_ms": e.BornMS,
		}).Info("a server changed")
	}
	return change
}

// Withdraw marks a backend server as gone. It reports false if no host that
// this one has heard of knows the id.
func (h *Host) Withdraw(id string, bornMS int64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	known := h.servers.Withdraw(id, bornMS, time.Now())
	if known {
		h.signal()
	}
	h.log.WithFields(logrus.Fields{"server": id, "known": known, "born_ms": bornMS}).Info("a server withdrew")
	return known
}

// signal wakes the streams; it needs the lock.
func (h *Host) signal() {
	close(h.urgent)
	h.urgent = make(chan struct{})
}

func (h *Host) placeOf(address string) string {
	if address == h.config.Address {
		return h.config.DataCentre
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.places[address]
}

// every calls f with the lock after each interval until the host is closed.
func (h *Host) every(interval time.Duration, f func(now time.Time)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-h.ctx.Done():
			return
		case <-ticker.C:
			h.mu.Lock()
			f(time.Now())
			h.mu.Unlock()
		}
	}
}

// expire forgets servers and edge hosts that were not heard of for long.
func (h *Host) expire(now time.Time) {
	h.servers.Expire(now)
	for name, e := range h.edges {
		if e.streams == 0 && now.Sub(e.seen) > forgetEdge {
			delete(h.edges, name)
		}
	}
}

// release ends the vouching for silent servers. A host that was paused goes on
// telling the true age until its next turn.
func (h *Host) release(now time.Time) { h.oldestHeard = h.servers.Release(now) }

// edgeChanged needs the lock.
func (h *Host) edgeChanged(e *edge) {
	h.edgeRev++
	e.changed = h.edgeRev
}

// Event implements feed.Handler: it merges what another core host knows.
func (h *Host) Event(address string, e *apiv1.FleetEvent) {
	h.merge(time.Now(), address, e)
	if cores := e.GetCores(); len(cores) > 0 {
		h.feed.Named(addresses(cores))
	}
}

func (h *Host) merge(now time.Time, address string, e *apiv1.FleetEvent) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, m := range e.GetServers() {
		h.servers.Offer(registry.FromMessage(m, now))
	}
	for _, m := range e.GetEdges() {
		h.seen(m, now)
	}
	h.vouched.Take(now, address, e, h.servers, func(name string) {
		if known := h.edges[name]; known != nil {
			known.seen = now
		}
	})
}

// Lost implements feed.Handler.
func (h *Host) Lost(address string, _ error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.vouched.Lost(address)
}

// seen needs the lock.
func (h *Host) seen(m *apiv1.EdgeHost, now time.Time) {
	at := now.Add(-time.Duration(m.GetAgeMs()) * time.Millisecond)
	e := h.edges[m.GetName()]
	if e == nil {
		e = &edge{}
		h.edges[m.GetName()] = e
	}
	if e.message == nil || m.GetIncarnation() > e.message.GetIncarnation() {
		e.message = m
		h.edgeChanged(e)
	}
	if at.After(e.seen) {
		e.seen = at
	}
}

func addresses(members []*apiv1.RaftMember) []string {
	out := make([]string, 0, len(members))
	for _, m := range members {
		out = append(out, m.GetAddress())
	}
	return out
}
