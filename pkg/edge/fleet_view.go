package edge

import (
	"time"

	"github.com/sirupsen/logrus"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/pkg/dispatch"
	"jackdawtrack.example/jackdawtrack/pkg/exchange"
	"jackdawtrack.example/jackdawtrack/pkg/feed"
	"jackdawtrack.example/jackdawtrack/pkg/registry"
	"jackdawtrack.example/jackdawtrack/pkg/routing"
)

const (
	// confirmationTimeout is how long a host that has just started waits for
	// state that a majority of the core hosts has confirmed. In a partitioned data
	// centre no core host has such state, so the unconfirmed state is used then.
	confirmationTimeout = 3 * time.Second
	// edgeTTL is how long an edge host counts as present after its last stream to
	// a core host: it may be partitioned from the core hosts and still send
	// requests to servers.
	edgeTTL = time.Minute
	// renewalUpdateInterval is the minimum time between two updates of the
	// dispatcher that only renew announcements.
	renewalUpdateInterval = 200 * time.Millisecond
)

// ConfigDecoder parses a configuration document.
type ConfigDecoder func(data []byte) (*routing.Config, error)

// fleetView merges the events of all core hosts. Server.mu guards it.
type fleetView struct {
	decode     ConfigDecoder
	log        *logrus.Entry
	servers    *registry.Registry
	fleetState map[string]*apiv1.FleetMark // newest mark by data centre
	releases   releaseHistory
	edges      map[string]*knownEdge
	liveness   *feed.Liveness

	revision        uint64        // of the newest merged state
	revisionChanged chan struct{} // closed when revision changes

	stateAccepted    bool // a confirmed state has been received, or the wait for one timed out
	firstStateAt     time.Time
	configVersion    uint64
	pendingDocument  *apiv1.FleetDocument // newest document received that is not in force yet
	services         map[string]*routing.Service
	serversUpdatedAt time.Time
	reinstatedAt     map[string]time.Time // by data centre: when it was last marked as in service
	lastContact      time.Time
}

type knownEdge struct {
	dataCentre  string
	address     string
	incarnation uint64
	lastSeen    time.Time
}

func newFleetView(decode ConfigDecoder, log *logrus.Entry) *fleetView {
	return &fleetView{
		decode: decode, log: log, servers: registry.New(), fleetState: map[string]*apiv1.FleetMark{}, releases: releaseHistory{},
		edges: map[string]*knownEdge{}, liveness: feed.NewLiveness(), services: map[string]*routing.Service{}, reinstatedAt: map[string]time.Time{},
		revisionChanged: make(chan struct{}),
	}
}

// mergeEvent merges an event of a core host. It reports whether the dispatcher
// needs an update of the servers or of the edge hosts, and returns the routing
// table if a new configuration came into force.
func (v *fleetView) mergeEvent(now time.Time, e *apiv1.FleetEvent) (servers, edges bool, table *routing.Table) {
	v.lastContact = now
	if s := e.GetState(); s != nil {
		servers = v.mergeMarks(now, s)
		servers = v.releases.merge(s.GetReleases(), v.log) || servers
		v.mergeDocument(now, s.GetDocument())
	}
	if v.acceptState(now, e.GetConfirmed()) {
		table = v.applyPendingDocument()
	}
	servers = servers || table != nil
	for _, m := range e.GetServers() {
		entry := registry.FromProto(m, now)
		switch v.servers.Merge(entry) {
		case registry.Modified:
			servers = true
			v.log.WithFields(logrus.Fields{
				"server": entry.ID, "service": entry.Service, "address": entry.Address, "state": entry.State.String(),
				"sequence": entry.Sequence, "born_ms": entry.StartMS, "version": entry.Release.String(), "cold_ms": m.GetColdMs(), "age_ms": m.GetAgeMs(),
			}).Info("server announcement changed")
		case registry.Renewed:
			servers = servers || now.Sub(v.serversUpdatedAt) > renewalUpdateInterval
		}
	}
	for _, m := range e.GetEdges() {
		edges = v.mergeEdge(now, m) || edges
	}
	return servers, edges, table
}

// renewLiveness refreshes the last-heard times of the servers and edge hosts
// that the core host at the address reports as alive. It reports whether the
// dispatcher needs an update of the servers.
func (v *fleetView) renewLiveness(now time.Time, address string, e *apiv1.FleetEvent) (servers bool) {
	renewed := v.liveness.Apply(now, address, e, v.servers, func(name string) {
		if known := v.edges[name]; known != nil {
			known.lastSeen = now
		}
	})
	return renewed && now.Sub(v.serversUpdatedAt) > renewalUpdateInterval
}

// mergeMarks merges the marks of data centres that are taken out of service. It
// reports whether any changed.
func (v *fleetView) mergeMarks(now time.Time, s *apiv1.FleetState) (changed bool) {
	for _, m := range s.GetMarks() {
		current := v.fleetState[m.GetDataCentre()]
		if current.GetRevision() >= m.GetRevision() {
			continue
		}
		v.fleetState[m.GetDataCentre()] = m
		if current != nil && current.GetOut() == m.GetOut() {
			continue // another order for the same
		}
		changed = true
		if !m.GetOut() {
			v.reinstatedAt[m.GetDataCentre()] = now
		}
		v.log.WithFields(logrus.Fields{"data_centre": m.GetDataCentre(), "out": m.GetOut(), "revision": m.GetRevision()}).Info("data centre taken out of service or put back")
	}
	return changed
}

// mergeDocument keeps a document that is newer than the one in force and the
// pending one.
func (v *fleetView) mergeDocument(now time.Time, d *apiv1.FleetDocument) {
	if v.firstStateAt.IsZero() {
		v.firstStateAt = now
	}
	if d.GetVersion() > max(v.configVersion, v.pendingDocument.GetVersion()) {
		v.pendingDocument = d
	}
}

// acceptState reports whether the received state may come into force. Once true,
// it stays true.
func (v *fleetView) acceptState(now time.Time, confirmed bool) bool {
	if v.stateAccepted {
		return true
	}
	timedOut := !v.firstStateAt.IsZero() && now.Sub(v.firstStateAt) >= confirmationTimeout
	if !confirmed && !timedOut {
		return false
	}
	v.stateAccepted = true
	v.log.WithFields(logrus.Fields{"confirmed": confirmed, "version": v.pendingDocument.GetVersion()}).Info("first state from the core hosts accepted")
	return true
}

// applyPendingDocument puts the newest document into force and returns its
// routing table. It returns nil if there is no newer document or if it cannot be
// decoded.
func (v *fleetView) applyPendingDocument() *routing.Table {
	d := v.pendingDocument
	if d.GetVersion() <= v.configVersion {
		return nil
	}
	v.pendingDocument = nil
	c, err := v.decode(d.GetData())
	if err != nil {
		v.log.WithError(err).WithField("version", d.GetVersion()).Error("cannot decode configuration from the core hosts, keeping the previous one")
		return nil
	}
	previous := v.configVersion
	v.configVersion = d.GetVersion()
	table := routing.NewTable(c)
	v.services = table.Services()
	v.log.WithFields(logrus.Fields{"version": v.configVersion, "before": previous, "routes": len(c.Routes), "workspaces": len(c.Workspaces)}).Info("configuration applied")
	return table
}

// mergeEdge merges an announcement of an edge host and reports whether the host
// is new or has another address.
func (v *fleetView) mergeEdge(now time.Time, m *apiv1.EdgeHost) bool {
	e := v.edges[m.GetName()]
	changed := e == nil || e.address != m.GetAddress()
	if e == nil {
		e = &knownEdge{}
		v.edges[m.GetName()] = e
	}
	if m.GetIncarnation() >= e.incarnation {
		e.incarnation, e.address, e.dataCentre = m.GetIncarnation(), m.GetAddress(), m.GetDataCentre()
	}
	if at := now.Add(-registry.DurationOfAge(m.GetAgeMs())); at.After(e.lastSeen) {
		e.lastSeen = at
	}
	return changed
}

// expire removes servers and edge hosts that were not heard of within their TTL
// and reports whether an edge host was removed. Edge hosts stay while there is
// no contact to a core host.
func (v *fleetView) expire(now time.Time) (edges bool) {
	v.servers.RemoveExpired(now)
	for name, e := range v.edges {
		if now.Sub(e.lastSeen) > edgeTTL && now.Sub(v.lastContact) < edgeTTL {
			delete(v.edges, name)
			edges = true
		}
	}
	return edges
}

// serverInfos returns the known servers in the form that the dispatcher takes.
func (v *fleetView) serverInfos(now time.Time) []dispatch.ServerInfo {
	v.serversUpdatedAt = now
	usable := v.servers.NewestPerAddress()
	out := make([]dispatch.ServerInfo, 0, len(usable))
	for i := range usable {
		if s := v.services[usable[i].Service]; s != nil {
			out = append(out, v.serverInfo(&usable[i], s))
		}
	}
	return out
}

func (v *fleetView) serverInfo(e *registry.Entry, s *routing.Service) dispatch.ServerInfo {
	serverInfo := dispatch.ServerInfo{
		ID: e.ID, Service: e.Service, Address: e.Address, DataCentre: e.DataCentre, Slots: max(e.Slots, 1),
		Ready:   e.State == registry.Ready && !e.Leaving && !v.fleetState[e.DataCentre].GetOut(),
		Release: e.Release, Recorded: v.releases.agreed(e.Service, e.Release), StartMS: e.StartMS, ColdUntil: e.ColdUntil, Heard: e.Heard, ColdRequestsPerSecond: s.ColdRequestsPerSecond, WarmUpTime: s.WarmUpTime,
	}
	if s.Engine != nil {
		serverInfo.KVTokens, serverInfo.FetchTokensPerSecond, serverInfo.SupportsReservation = max(s.Engine.KVTokens, 1), s.Engine.FetchTokensPerSecond, s.Engine.SupportsReservation
		if e.Slots == 0 {
			serverInfo.Slots = max(s.Engine.Slots, 1)
		}
	}
	// Servers of a data centre that returned to service may be cold. The next
	// announcement of each server says whether it is.
	if reinstated := v.reinstatedAt[e.DataCentre]; reinstated.After(e.Heard) {
		if until := reinstated.Add(s.WarmUpTime); until.After(serverInfo.ColdUntil) {
			serverInfo.ColdUntil = until
		}
	}
	return serverInfo
}

// peers returns the names of the edge hosts of the data centre, this host
// included, and the digest exchange addresses of all other edge hosts.
func (v *fleetView) peers(self, dataCentre string) (neighbours []string, out exchange.Peers) {
	neighbours = []string{self}
	out.Remote = map[string][]string{}
	for name, e := range v.edges {
		if name == self {
			continue
		}
		out.All = append(out.All, e.address)
		if e.dataCentre == dataCentre {
			neighbours = append(neighbours, name)
			out.Local = append(out.Local, e.address)
		} else {
			out.Remote[e.dataCentre] = append(out.Remote[e.dataCentre], e.address)
		}
	}
	return neighbours, out
}
