package pool

import "jackdawtrack.example/jackdawtrack/pkg/backend"

// ServerView is the state of one BackendServer for status output. Its JSON
// fields have the names of the Go fields.
type ServerView struct {
	Name     string
	Address  string
	State    backend.State
	Usable   bool // may receive new requests
	Limit    int  // slots that this owner may use now
	Full     int  // limit of the server over all routers
	Cold     bool // the limit is in the cold start ramp
	InFlight int  // slots in use that this owner counts
	Unseen   int  // reported requests that this owner does not count
	// RequestLimit is what the server has stated of the requests a second that it takes
	// from all routers together, nil if nothing.
	RequestLimit *float64
}

// OwnerView is the state of an Owner for status output. Its JSON fields have
// the names of the Go fields.
type OwnerView struct {
	Shard    ShardID
	Epoch    uint64
	Granting bool
	Waiting  int   // waiting asks
	Active   int   // workspaces with waiting asks
	Floor    int64 // fair-share floor in service units, valid if Waiting > 0
	Grants   int   // open grants
	Lent     int   // open loans to other data centres
	Servers  []ServerView
}

// Snapshot returns the present state. Its servers are ordered by name.
func (o *Owner) Snapshot() OwnerView {
	v := OwnerView{
		Shard:    o.id,
		Epoch:    o.epoch,
		Granting: !o.handedOver && !o.now.Before(o.recoveryEnd),
		Waiting:  o.queue.Len(),
		Active:   o.queue.Active(),
		Grants:   len(o.grants),
		Lent:     len(o.lentSlots),
	}
	v.Floor, _ = o.queue.Floor()
	for _, s := range o.sortedServers() {
		st := s.limit.State()
		view := ServerView{
			Name:     s.announcement.Name,
			Address:  s.announcement.Address,
			State:    s.announcement.State,
			Usable:   o.isUsable(s),
			Limit:    st.Limit,
			Full:     st.Full,
			Cold:     st.Cold,
			InFlight: st.InFlight,
			Unseen:   st.Unseen,
		}
		if s.isLimited() {
			limit := s.rate.limit()
			view.RequestLimit = &limit
		}
		v.Servers = append(v.Servers, view)
	}
	return v
}
