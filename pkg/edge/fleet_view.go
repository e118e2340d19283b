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
	// unconfirmedWait is how long a host that has just started waits for a
	// core host whose state a majority has confirmed. A data centre that is
	// cut off has none and serves with what it has.
	unconfirmedWait = 3 * time.Second
	// edgeMemory is how long an edge host counts after its last stream to a
	// core host: it may be cut off and still send to servers.
	edgeMemory = time.Minute
	// slowUpdate bounds how often renewed announcements reach the decisions.
	slowUpdate = 200 * time.Millisecond
)

// Decode reads a configuration document.
type Decode func(data []byte) (*routing.Config, error)

// view is what the core hosts tell, merged. The lock of the Server guards it.
type view struct {
	decode  Decode
	log     *logrus.Entry
	servers *registry.Registry
	state   map[string]*apiv1.FleetMark // by data centre
	edges   map[string]*knownEdge
	vouched *feed.Vouched

	accepted    bool // a state may be used
	firstState  time.Time
	version     uint64
	pending     *apiv1.FleetDocument // newest before a state is accepted
	services    map[string]*routing.Service
	updated     time.Time
	backIn      map[string]time.Time // when a data centre came back in
	lastContact time.Time
}

type knownEdge struct {
	dataCentre  string
	address     string
	incarnation uint64
	seen        time.Time
}

func newView(decode Decode, log *logrus.Entry) *view {
	return &view{
		decode: decode, log: log, servers: registry.New(), state: map[string]*apiv1.FleetMark{},
		edges: map[string]*knownEdge{}, vouched: feed.NewVouched(), services: map[string]*routing.Service{}, backIn: map[string]time.Time{},
	}
}

// merge takes an event and reports what has to be told to the decisions.
func (v *view) merge(now time.Time, e *apiv1.FleetEvent) (servers, edges bool, table *routing.Table) {
	v.lastContact = now
	if s := e.GetState(); s != nil {
		servers = v.mergeMarks(now, s)
		v.mergeDocument(now, s.GetDocument())
	}
	if v.accept(now, e.GetConfirmed()) {
		table = v.adopt()
	}
	servers = servers || table != nil
	for _, m := range e.GetServers() {
		entry := registry.FromMessage(m, now)
		switch v.servers.Offer(entry) {
		case registry.Modified:
			servers = true
			v.log.WithFields(logrus.Fields{
				"server": entry.ID, "service": entry.Service, "address": entry.Address, "state": entry.State.String(),
				"sequence": entry.Sequence, "born_ms": entry.BornMS, "cold_ms": m.GetColdMs(), "age_ms": m.GetAgeMs(),
			}).Info("a server changed")
		case registry.Renewed:
			servers = servers || now.Sub(v.updated) > slowUpdate
		}
	}
	for _, m := range e.GetEdges() {
		edges = v.mergeEdge(now, m) || edges
	}
	return servers, edges, table
}

// vouch renews what the core host at the address vouches for and reports
// whether it has to be told to the decisions.
func (v *view) vouch(now time.Time, address string, e *apiv1.FleetEvent) (servers bool) {
	renewed := v.vouched.Take(now, address, e, v.servers, func(name string) {
		if known := v.edges[name]; known != nil {
			known.seen = now
		}
	})
	return renewed && now.Sub(v.updated) > slowUpdate
}

func (v *view) mergeMarks(now time.Time, s *apiv1.FleetState) (changed bool) {
	for _, m := range s.GetMarks() {
		present := v.state[m.GetDataCentre()]
		if present.GetRevision() >= m.GetRevision() {
			continue
		}
		v.state[m.GetDataCentre()] = m
		changed = true
		if !m.GetOut() {
			v.backIn[m.GetDataCentre()] = now
		}
		v.log.WithFields(logrus.Fields{"data_centre": m.GetDataCentre(), "out": m.GetOut(), "revision": m.GetRevision()}).Info("a data centre was taken out or in")
	}
	return changed
}

func (v *view) mergeDocument(now time.Time, d *apiv1.FleetDocument) {
	if v.firstState.IsZero() {
		v.firstState = now
	}
	if d.GetVersion() > max(v.version, v.pending.GetVersion()) {
		v.pending = d
	}
}

// accept reports whether a state may come into force.
func (v *view) accept(now time.Time, confirmed bool) bool {
	if v.accepted {
		return true
	}
	late := !v.firstState.IsZero() && now.Sub(v.firstState) >= unconfirmedWait
	if !confirmed && !late {
		return false
	}
	v.accepted = true
	v.log.WithFields(logrus.Fields{"confirmed": confirmed, "version": v.pending.GetVersion()}).Info("the first state of the core was accepted")
	return true
}

// adopt puts the newest document into force.
func (v *view) adopt() *routing.Table {
	d := v.pending
	if d.GetVersion() <= v.version {
		return nil
	}
	v.pending = nil
	c, err := v.decode(d.GetData())
	if err != nil {
		v.log.WithError(err).WithField("version", d.GetVersion()).Error("a configuration of the core cannot be read, the one before stays in force")
		return nil
	}
	before := v.version
	v.version = d.GetVersion()
	table := routing.NewTable(c)
	v.services = table.Services()
	v.log.WithFields(logrus.Fields{"version": v.version, "before": before, "routes": len(c.Routes), "workspaces": len(c.Workspaces)}).Info("a configuration is in force")
	return table
}

func (v *view) mergeEdge(now time.Time, m *apiv1.EdgeHost) bool {
	e := v.edges[m.GetName()]
	changed := e == nil || e.address != m.GetAddress()
	if e == nil {
		e = &knownEdge{}
		v.edges[m.GetName()] = e
	}
	if m.GetIncarnation() >= e.incarnation {
		e.incarnation, e.address, e.dataCentre = m.GetIncarnation(), m.GetAddress(), m.GetDataCentre()
	}
	if at := now.Add(-time.Duration(m.GetAgeMs()) * time.Millisecond); at.After(e.seen) {
		e.seen = at
	}
	return changed
}

// expire forgets what has not been heard of for long and reports whether edge
// hosts changed.
func (v *view) expire(now time.Time) (edges bool) {
	v.servers.Expire(now)
	for name, e := range v.edges {
		if now.Sub(e.seen) > edgeMemory && now.Sub(v.lastContact) < edgeMemory {
			delete(v.edges, name)
			edges = true
		}
	}
	return edges
}

// infos returns the servers for the decisions.
func (v *view) infos(now time.Time) []dispatch.ServerInfo {
	v.updated = now
	usable := v.servers.Usable()
	out := make([]dispatch.ServerInfo, 0, len(usable))
	for i := range usable {
		if s := v.services[usable[i].Service]; s != nil {
			out = append(out, v.info(&usable[i], s))
		}
	}
	return out
}

func (v *view) info(e *registry.Entry, s *routing.Service) dispatch.ServerInfo {
	info := dispatch.ServerInfo{
		ID: e.ID, Service: e.Service, Address: e.Address, DataCentre: e.DataCentre, Slots: max(e.Slots, 1),
		Ready:  e.State == registry.Ready && !e.Leaving && !v.state[e.DataCentre].GetOut(),
		BornMS: e.BornMS, ColdUntil: e.ColdUntil, Heard: e.Heard, ColdRate: s.ColdRate, ColdStart: s.ColdStart,
	}
	if s.Engine != nil {
		info.KVTokens, info.FetchRate, info.Reserves = max(s.Engine.KVTokens, 1), s.Engine.FetchRate, s.Engine.Reserves
		if e.Slots == 0 {
			info.Slots = max(s.Engine.Slots, 1)
		}
	}
	// Servers of a data centre that came back may be cold; the next
	// announcement says whether they are.
	if back := v.backIn[e.DataCentre]; back.After(e.Heard) {
		if until := back.Add(s.ColdStart); until.After(info.ColdUntil) {
			info.ColdUntil = until
		}
	}
	return info
}

// peers returns the edge hosts of the data centre, and where all others are.
func (v *view) peers(self, dataCentre string) (neighbours []string, out exchange.Peers) {
	neighbours = []string{self}
	out.Elsewhere = map[string][]string{}
	for name, e := range v.edges {
		if name == self {
			continue
		}
		out.All = append(out.All, e.address)
		if e.dataCentre == dataCentre {
			neighbours = append(neighbours, name)
			out.Near = append(out.Near, e.address)
		} else {
			out.Elsewhere[e.dataCentre] = append(out.Elsewhere[e.dataCentre], e.address)
		}
	}
	return neighbours, out
}
