package pool

import "jackdawtrack.example/jackdawtrack/pkg/backend"

// ServerView is the state of one BackendServer for status output.
type ServerView struct {
	Name     string
	Address  string
	State    backend.State
	Usable   bool // may receive new work
	Limit    int  // usable by this owner now
	Full     int  // over all routers
	Cold     bool
	InFlight int
	Unseen   int // running work that this owner did not grant
}

// View is the state of an Owner for status output.
type View struct {
	Shard    ShardID
	Epoch    uint64
	Granting bool
	Waiting  int
	Active   int   // workspaces with waiting asks
	Floor    int64 // service units, valid if Waiting > 0
	Grants   int   // open grants
	Lent     int   // open loans given
	Servers  []ServerView
}

// Snapshot returns the present state.
func (o *Owner) Snapshot() View {
	v := View{
		Shard:    o.id,
		Epoch:    o.epoch,
		Granting: !o.closed && !o.now.Before(o.opens),
		Waiting:  o.queue.Len(),
		Active:   o.queue.Active(),
		Grants:   len(o.grants),
		Lent:     len(o.lent),
	}
	v.Floor, _ = o.queue.Floor()
	for _, s := range o.sorted() {
		st := s.limit.State()
		v.Servers = append(v.Servers, ServerView{
			Name:     s.ann.Name,
			Address:  s.ann.Address,
			State:    s.ann.State,
			Usable:   o.usable(s),
			Limit:    st.Limit,
			Full:     st.Full,
			Cold:     st.Cold,
			InFlight: st.InFlight,
			Unseen:   st.Unseen,
		})
	}
	return v
}
