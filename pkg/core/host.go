// Package core implements a core host. The core hosts replicate the state of the
// fleet by consensus, receive the announcements of backend servers, and stream both
// to edge hosts.
package core

import (
	"context"
	"encoding/binary"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
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
	// Timing of the consensus: a lost leader is replaced in 1 to 2 s, within the
	// 4 s that an operator waits for an acknowledgement.
	raftTick       = 100 * time.Millisecond
	heartbeatTicks = 2
	electionTicks  = 9
	// cleanupInterval is how often expired announcements and edge hosts are
	// removed.
	cleanupInterval = 5 * time.Second
	// edgeRetention is how long an edge host is kept after its last stream ended.
	// It may only be partitioned from the core and still send to servers.
	edgeRetention = time.Minute
)

// Config configures a Host. Name, DataCentre, Address, DataFolder and
// VoterCount are required.
type Config struct {
	Name       string
	DataCentre string
	Address    string // IPv4 address and port for the other hosts of the fleet
	DataFolder string // directory of the replicated log
	// Seeds are the addresses of the core hosts in the settings.
	Seeds []string
	// Bootstrap creates a new consensus group from the seeds. Set it only at the
	// first start of the whole fleet.
	Bootstrap bool
	// VoterCount is the target number of voting members, 2f+1 to tolerate the
	// loss of f disks.
	VoterCount       int
	Registry         metrics.Registry
	Dial             feed.Dial             // connects to other core hosts, over TCP if nil
	ConfigureReplica func(*replica.Config) // changes the configuration of the replica in tests
}

// Host is a running core host. Its methods are safe for concurrent use. mu guards
// the fields below it; no call to the replica or the network is made while it is
// held.
type Host struct {
	apiv1.UnimplementedFleetServer

	config        Config
	log           *logrus.Entry
	state         *fleet.State
	replica       *replica.Replica
	server        *grpc.Server
	listener      net.Listener
	feed          *feed.Client
	clients       clients
	streams       *streamRecords
	cancel        context.CancelFunc
	ctx           context.Context
	confirmations confirmations
	leaving       atomic.Bool // the host shuts down, see Leave

	mu              sync.Mutex
	servers         *registry.Registry
	edges           map[string]*edge
	coreDataCentres map[string]string       // data centres of core hosts, by address
	urgentChange    chan struct{}           // closed on a change that is sent at once
	edgeRevision    uint64                  // revision of the last change of an edge host
	verdictSubmits  map[uint64]bool         // prompt parts whose verdict is being stored
	releaseSubmits  map[serviceRelease]bool // releases for which a change is being stored
	sightings       sightings
	vouched         *feed.Liveness // servers and edge hosts that other core hosts vouch for
	// oldestHeard is the earliest of the times at which the servers that this host
	// vouches for were last heard, zero if it vouches for none.
	oldestHeard time.Time
}

// edge is an edge host that is or was connected to this or another core host.
type edge struct {
	message     *apiv1.EdgeHost
	revision    uint64    // revision of the last change that watchers must receive
	openStreams int       // open streams to this host
	seen        time.Time // when its last stream ended or another core host saw it
}

// ID returns the member id of a core host. It encodes the IPv4 address and port, so
// that a host that comes back at the same address keeps its id. It returns
// InvalidSettings for any other address.
func ID(address string) (uint64, error) {
	a, err := netip.ParseAddrPort(address)
	if err != nil || !a.Addr().Unmap().Is4() {
		return 0, result.New(result.InvalidSettings, "%q is not an IPv4 address and port", address)
	}
	ip := a.Addr().Unmap().As4()
	return uint64(binary.BigEndian.Uint32(ip[:]))<<16 | uint64(a.Port()), nil
}

// Open recovers the state in the folder, listens on the address and serves the
// other hosts until Close. It returns InvalidSettings if it cannot listen.
func Open(c Config) (*Host, error) {
	id, err := ID(c.Address)
	if err != nil {
		return nil, err
	}
	if c.Registry == nil {
		c.Registry = metrics.NewRegistry()
	}
	h := &Host{
		config: c, log: logging.ForComponent("core"), state: fleet.NewState(), servers: registry.New(),
		clients: clients{dial: c.Dial}, edges: map[string]*edge{}, coreDataCentres: map[string]string{}, urgentChange: make(chan struct{}),
		vouched: feed.NewLiveness(), verdictSubmits: map[uint64]bool{},
		releaseSubmits: map[serviceRelease]bool{}, sightings: sightings{},
	}
	h.confirmations.confirm = h.confirmHistory
	h.streams = newStreamRecords(h.log, c.Registry, maxStreamRecords)
	h.ctx, h.cancel = context.WithCancel(context.Background())
	if h.listener, err = net.Listen("tcp", c.Address); err != nil {
		return nil, result.Wrap(result.InvalidSettings, err, "cannot listen on address %s", c.Address)
	}
	if err := h.openReplica(id); err != nil {
		_ = h.listener.Close()
		return nil, err
	}
	h.server = grpc.NewServer(slices.Concat(replica.ServerOptions(), h.panicRecoveryOptions(), []grpc.ServerOption{grpc.MaxRecvMsgSize(maxCommandBytes)})...)
	h.replica.Register(h.server)
	apiv1.RegisterFleetServer(h.server, h)
	self := &apiv1.FleetWatcher{Name: c.Name, DataCentre: c.DataCentre, Address: c.Address, Incarnation: uint64(time.Now().UnixNano()), Core: true}
	h.feed = feed.New(h.ctx, self, c.Address, c.Dial, h)
	h.feed.SetSeeds(c.Seeds)
	go h.serve()
	go h.manageMembership(h.ctx)
	go h.runPeriodically(cleanupInterval, h.removeExpired)
	go h.runPeriodically(flushInterval, h.releaseSilentServers)
	go h.maintainReleases()
	return h, nil
}

// openReplica opens the replica of the fleet state.
func (h *Host) openReplica(id uint64) error {
	c := h.config
	config := replica.Config{
		ID: id, Folder: c.DataFolder, Address: c.Address, Registry: c.Registry,
		Tick: raftTick, HeartbeatTicks: heartbeatTicks, ElectionTicks: electionTicks, Dial: c.Dial,
	}
	if c.Bootstrap {
		config.Bootstrap = bootstrapMembers(c.Seeds, c.Address)
	}
	if c.ConfigureReplica != nil {
		c.ConfigureReplica(&config)
	}
	var err error
	h.replica, err = replica.Open(config, h.state)
	return err
}

// bootstrapMembers returns the seeds as the initial members if this host is one of
// them, otherwise nil.
func bootstrapMembers(seeds []string, own string) []replica.Member {
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
	if err := h.server.Serve(h.listener); err != nil && h.ctx.Err() == nil {
		h.log.WithError(err).Error("the gRPC server for other hosts stopped")
	}
}

// SetSeeds replaces the seed addresses after a change of the settings.
func (h *Host) SetSeeds(addresses []string) { h.feed.SetSeeds(addresses) }

// Done is closed when the replica has stopped. Err then returns the reason.
func (h *Host) Done() <-chan struct{} { return h.replica.Done() }

// Err returns the error that stopped the replica.
func (h *Host) Err() error { return h.replica.Err() }

// Status returns the status of the replica.
func (h *Host) Status() replica.Status { return h.replica.Status() }

// Close stops serving and closes the replica, which releases the folder.
func (h *Host) Close() error {
	h.cancel()
	h.server.Stop()
	h.clients.close()
	return h.replica.Close()
}

// HandleAnnouncement merges an announcement that a backend server sent to this
// host, and streams it at once if it changes the server.
func (h *Host) HandleAnnouncement(e registry.Entry) registry.Change {
	e.HeardDirectly = true
	change := h.mergeAnnouncement(e)
	if change == registry.Modified && e.State != registry.Gone && e.Service != "" {
		h.addRelease(serviceRelease{e.Service, e.Release})
	}
	return change
}

func (h *Host) mergeAnnouncement(e registry.Entry) registry.Change {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	before, known := h.servers.Get(e.ID)
	change := h.servers.Merge(e)
	if change != registry.Stale {
		h.seeRelease(now, &e)
	}
	if change == registry.Modified {
		h.noticeRestart(now, before, e.ID)
		h.notifyWatchers()
		h.log.WithFields(logrus.Fields{
			"server": e.ID, "service": e.Service, "address": e.Address, "state": e.State.String(), "before": before.State.String(),
			"known": known, "sequence": e.Sequence, "born_ms": e.StartMS, "suspensions": e.Suspensions,
		}).Info("server announcement changed")
	}
	return change
}

// HandleWithdrawal applies the withdrawal of a backend server. It returns false if this
// host does not know the id, neither from the server nor from another core host.
func (h *Host) HandleWithdrawal(w registry.Withdrawal) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	before, _ := h.servers.Get(w.ID)
	change, known := h.servers.Withdraw(w, now)
	if change != registry.Stale {
		h.noticeRestart(now, before, w.ID)
		h.notifyWatchers()
	} else if known {
		metrics.GetOrRegisterCounter("core.withdrawals.ignored", h.config.Registry).Inc(1)
	}
	e, _ := h.servers.Get(w.ID)
	h.log.WithFields(logrus.Fields{
		"server": w.ID, "known": known, "ignored": known && change == registry.Stale, "stated_ms": w.StartMS, "born_ms": e.StartMS, "suspensions": e.Suspensions,
	}).Info("server withdrew")
	return known
}

// Server returns what this host knows of a backend server, and false if the id is not
// known.
func (h *Host) Server(id string) (registry.Entry, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.servers.Get(id)
}

// notifyWatchers wakes all streams, so that they send the changes at once. It
// requires mu.
func (h *Host) notifyWatchers() {
	close(h.urgentChange)
	h.urgentChange = make(chan struct{})
}

// dataCentreOf returns the data centre of a core host, "" if it is not known.
func (h *Host) dataCentreOf(address string) string {
	if address == h.config.Address {
		return h.config.DataCentre
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.coreDataCentres[address]
}

// runPeriodically calls f with mu held after each interval until the host is
// closed.
func (h *Host) runPeriodically(interval time.Duration, f func(now time.Time)) {
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

// removeExpired removes servers and edge hosts that were not seen for their
// retention time.
func (h *Host) removeExpired(now time.Time) {
	h.servers.RemoveExpired(now)
	h.streams.removeExpired(now)
	for name, e := range h.edges {
		if e.openStreams == 0 && now.Sub(e.seen) > edgeRetention {
			delete(h.edges, name)
		}
	}
}

// releaseSilentServers stops vouching for servers that no longer announce
// themselves. A host whose process was paused reports the true age until the next
// call.
func (h *Host) releaseSilentServers(now time.Time) { h.oldestHeard = h.servers.ExpireVouched(now) }

// markEdgeChanged makes watchers receive the edge host again. It requires mu.
func (h *Host) markEdgeChanged(e *edge) {
	h.edgeRevision++
	e.revision = h.edgeRevision
}

// HandleEvent implements feed.Handler. It merges an event of another core host.
func (h *Host) HandleEvent(address string, e *apiv1.FleetEvent) {
	h.mergeEvent(time.Now(), address, e)
	if cores := e.GetCores(); len(cores) > 0 {
		h.feed.AddAdvertised(memberAddresses(cores))
	}
}

// mergeEvent merges the servers and edge hosts of an event.
func (h *Host) mergeEvent(now time.Time, address string, e *apiv1.FleetEvent) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, m := range e.GetServers() {
		e := registry.FromProto(m, now)
		before, _ := h.servers.Get(e.ID)
		if h.servers.Merge(e) != registry.Stale {
			h.seeRelease(now, &e)
			h.noticeRestart(now, before, e.ID)
		}
	}
	for _, m := range e.GetEdges() {
		h.seen(m, now)
	}
	h.vouched.Apply(now, address, e, h.servers, func(name string) {
		if known := h.edges[name]; known != nil {
			known.seen = now
		}
	})
}

// HandleDisconnect implements feed.Handler. It ends what the core host at the
// address vouched for.
func (h *Host) HandleDisconnect(address string, _ error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.vouched.HandleDisconnect(address)
}

// seen records an edge host and when it was last connected, from the age in m. It
// requires mu.
func (h *Host) seen(m *apiv1.EdgeHost, now time.Time) {
	seenAt := now.Add(-registry.DurationOfAge(m.GetAgeMs()))
	e := h.edges[m.GetName()]
	if e == nil {
		e = &edge{}
		h.edges[m.GetName()] = e
	}
	if e.message == nil || m.GetIncarnation() > e.message.GetIncarnation() {
		e.message = m
		h.markEdgeChanged(e)
	}
	if seenAt.After(e.seen) {
		e.seen = seenAt
	}
}

func memberAddresses(members []*apiv1.RaftMember) []string {
	out := make([]string, 0, len(members))
	for _, m := range members {
		out = append(out, m.GetAddress())
	}
	return out
}
