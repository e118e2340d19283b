// Package fairshare counts the service of every workspace across the fleet and
// orders waiting requests by fair share and deadline.
//
// Service is counted in service units. A Ledger holds one grow-only counter for
// each origin (router incarnation) and workspace. A Queue orders the waiting
// requests of one pool shard by the virtual times of their workspaces: the total
// of the Ledger plus an offset of the Queue. The lowest virtual time among the
// waiting workspaces is the floor.
package fairshare

import (
	"sync"
	"sync/atomic"
	"time"
)

// maxTombstones bounds the number of dropped origins that a Ledger remembers. An
// older origin that returns counts as new, so its service counts twice;
// Config.MaxLead bounds the effect.
const maxTombstones = 4096

// Origin identifies the router incarnation that counted service.
type Origin struct {
	Name        string
	DataCentre  string
	Incarnation uint64
}

// ServiceTotal is the service of one workspace counted by one origin.
type ServiceTotal struct {
	Workspace string
	Units     uint64 // service units since the origin started
}

// Account counts the service of one workspace. Total can be called without a
// lock; the Ledger's lock guards the other fields.
type Account struct {
	name           string
	total          atomic.Int64 // over all origins, with the estimates of own unsettled requests
	ownUnits       int64        // by this origin: settled costs and estimates of unsettled requests
	publishedUnits uint64       // greatest value of ownUnits so far
	version        uint64       // Ledger.version at the last change of publishedUnits
}

// Total returns the fleet-wide service total in service units.
func (a *Account) Total() int64 { return a.total.Load() }

// remoteOrigin holds the counters of another origin.
type remoteOrigin struct {
	totals        map[string]uint64
	needsBaseline bool // the next full message sets totals without adding service
}

// Ledger holds the service totals of all workspaces. It is safe for concurrent
// use. Its lock may be taken while a pool lock is held; no other lock is taken
// while the Ledger's lock is held.
type Ledger struct {
	origin Origin

	mu             sync.RWMutex
	accounts       map[string]*Account
	remotes        map[Origin]*remoteOrigin
	version        uint64
	tombstones     map[Origin]bool // dropped origins
	tombstoneOrder []Origin        // the same, oldest first
}

// NewLedger returns an empty Ledger. Charge and Settle count for origin.
func NewLedger(origin Origin) *Ledger {
	return &Ledger{
		origin:     origin,
		accounts:   map[string]*Account{},
		remotes:    map[Origin]*remoteOrigin{},
		tombstones: map[Origin]bool{},
	}
}

// Origin returns the origin for which Charge and Settle count.
func (l *Ledger) Origin() Origin { return l.origin }

// Account returns the account of a workspace and creates it if needed.
func (l *Ledger) Account(workspace string) *Account {
	l.mu.RLock()
	a := l.accounts[workspace]
	l.mu.RUnlock()
	if a != nil {
		return a
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.accountLocked(workspace)
}

// accountLocked returns the account of a workspace and creates it if needed. The
// caller holds the write lock.
func (l *Ledger) accountLocked(workspace string) *Account {
	a := l.accounts[workspace]
	if a == nil {
		a = &Account{name: workspace}
		l.accounts[workspace] = a
	}
	return a
}

// Charge adds the estimated cost of a dispatched request in service units.
func (l *Ledger) Charge(a *Account, units uint64) { l.addOwnUnits(a, int64(units)) }

// Settle replaces the estimate of a finished request by its cost, both in service
// units. The published total never falls: after an overestimate it stays until
// later charges of the workspace exceed it.
func (l *Ledger) Settle(a *Account, estimate, cost uint64) {
	l.addOwnUnits(a, int64(cost)-int64(estimate))
}

func (l *Ledger) addOwnUnits(a *Account, units int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a.ownUnits += units
	a.total.Add(units)
	if a.ownUnits > int64(a.publishedUnits) {
		l.version++
		a.publishedUnits = uint64(a.ownUnits)
		a.version = l.version
	}
}

// FleetTotal returns the fleet-wide service total of a workspace in service
// units.
func (l *Ledger) FleetTotal(workspace string) int64 { return l.Account(workspace).Total() }

// Merge applies a message with totals of another origin. Lost, repeated and
// reordered messages are harmless, because totals only grow. full means that the
// message holds every total of the origin. Totals of the own origin are ignored.
func (l *Ledger) Merge(origin Origin, totals []ServiceTotal, full bool) {
	if origin == l.origin {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.remotes[origin]
	if r == nil {
		r = &remoteOrigin{totals: map[string]uint64{}, needsBaseline: l.tombstones[origin]}
		l.remotes[origin] = r
	}
	if r.needsBaseline {
		l.setBaseline(origin, r, totals, full)
		return
	}
	for _, t := range totals {
		previous := r.totals[t.Workspace]
		if t.Units <= previous {
			continue
		}
		r.totals[t.Workspace] = t.Units
		l.accountLocked(t.Workspace).total.Add(int64(t.Units - previous))
	}
}

// setBaseline resumes counting for a dropped origin that returned. The account
// totals still include what the origin counted before, so its first full message
// adds nothing and only sets the values from which later ones count.
func (l *Ledger) setBaseline(origin Origin, r *remoteOrigin, totals []ServiceTotal, full bool) {
	if !full {
		return
	}
	for _, t := range totals {
		r.totals[t.Workspace] = t.Units
	}
	r.needsBaseline = false
	delete(l.tombstones, origin)
}

// OwnTotalsSince returns this origin's totals that changed after sinceVersion,
// and the current version for the next call. Version 0 returns every total.
func (l *Ledger) OwnTotalsSince(sinceVersion uint64) ([]ServiceTotal, uint64) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	if sinceVersion == l.version {
		return nil, l.version
	}
	var out []ServiceTotal
	for _, a := range l.accounts {
		if a.version > sinceVersion {
			out = append(out, ServiceTotal{Workspace: a.name, Units: a.publishedUnits})
		}
	}
	return out, l.version
}

// OwnTotals returns every total of this origin and the current version.
func (l *Ledger) OwnTotals() ([]ServiceTotal, uint64) { return l.OwnTotalsSince(0) }

// RemoteOrigins returns the other origins with counters, without dropped ones.
func (l *Ledger) RemoteOrigins() []Origin {
	l.mu.RLock()
	defer l.mu.RUnlock()
	out := make([]Origin, 0, len(l.remotes))
	for o := range l.remotes {
		out = append(out, o)
	}
	return out
}

// DropOrigin deletes the counters of a dead origin. The totals of the workspaces
// keep what it counted.
func (l *Ledger) DropOrigin(origin Origin) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.remotes[origin] == nil || l.tombstones[origin] {
		return
	}
	delete(l.remotes, origin)
	l.tombstones[origin] = true
	l.tombstoneOrder = append(l.tombstoneOrder, origin)
	if len(l.tombstoneOrder) > maxTombstones {
		delete(l.tombstones, l.tombstoneOrder[0])
		l.tombstoneOrder = l.tombstoneOrder[1:]
	}
}

// TotalsExchangeInterval is how often routers send each other the totals that
// changed.
const TotalsExchangeInterval = time.Second
