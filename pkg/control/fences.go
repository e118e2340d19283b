package control

import (
	"context"
	"maps"
	"slices"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/pkg/class"
	"jackdawtrack.example/jackdawtrack/pkg/orders"
	"jackdawtrack.example/jackdawtrack/pkg/result"
)

// fences are the records of the leases of orders to engines. They hold no
// expiry: a successor waits until a record has stood unchanged by its own
// clock, see package orders. They are no part of the catalog, because each
// order would otherwise make a revision and fail the commands of operators that
// expect one.
type fences struct {
	limit    int
	byServer map[string]*fence
	floor    uint64 // greatest number of a record that was dropped
}

type fence struct {
	record  orders.Record
	changed int64 // ms
}

func newFences(limit int) fences {
	return fences{limit: limit, byServer: map[string]*fence{}}
}

// present returns the record of a server. One without a record begins above
// every number that was dropped, so numbers never fall.
func (f *fences) present(server string) orders.Record {
	if held, ok := f.byServer[server]; ok {
		return held.record
	}
	return orders.Record{Server: server, Number: f.floor}
}

// makeRoom drops the record that has stood longest, if it has stood since
// before the given time. A younger one may belong to a holder whose lease runs.
func (f *fences) makeRoom(before int64) bool {
	if len(f.byServer) < f.limit {
		return true
	}
	var oldest *fence
	for _, server := range slices.Sorted(maps.Keys(f.byServer)) {
		if held := f.byServer[server]; oldest == nil || held.changed < oldest.changed {
			oldest = held
		}
	}
	if oldest == nil || oldest.changed > before {
		return false
	}
	f.floor = max(f.floor, oldest.record.Number)
	delete(f.byServer, oldest.record.Server)
	return true
}

// validAcquire reports whether the next record follows the observed one: the
// next renewal of the same holder, or the first record of a new number.
func validAcquire(in *apiv1.AcquireFenceRequest) bool {
	old, next := orders.FromFence(in.GetObserved()), orders.FromFence(in.GetNext())
	if !class.ValidName(old.Server) || !class.ValidName(in.GetRouter()) || next.Server != old.Server {
		return false
	}
	if next.Holder != orders.Holder(in.GetRouter(), in.GetIncarnation()) {
		return false
	}
	renewal := next.Holder == old.Holder && next.Number == old.Number && next.Renewal == old.Renewal+1
	taken := next.Number == old.Number+1 && next.Renewal == 0
	return renewal || taken
}

// acquireFence replaces the observed record if the log still holds it. A call
// that is repeated after a lost answer gets FenceStale with its own record: the
// lease counts from before the call that made the record, which may have been
// an earlier one.
func (m *Machine) acquireFence(in *apiv1.AcquireFenceRequest) *apiv1.AcquireFenceResponse {
	if !validAcquire(in) {
		return &apiv1.AcquireFenceResponse{Code: uint32(result.InvalidRequest)}
	}
	server := in.GetObserved().GetServer()
	present := m.fences.present(server)
	if orders.FromFence(in.GetObserved()) != present {
		return &apiv1.AcquireFenceResponse{Code: uint32(result.FenceStale), Present: orders.ToFence(present)}
	}
	held, ok := m.fences.byServer[server]
	if !ok {
		if !m.fences.makeRoom(m.now - m.limits.fenceMemory.Milliseconds()) {
			return &apiv1.AcquireFenceResponse{Code: uint32(result.QueueFull), Present: orders.ToFence(present)}
		}
		held = &fence{}
		m.fences.byServer[server] = held
	}
	held.record, held.changed = orders.FromFence(in.GetNext()), m.now
	return &apiv1.AcquireFenceResponse{Present: in.GetNext()}
}

func (m *Machine) writeFences(e *encoder) {
	e.number(int64(m.fences.floor))
	e.number(int64(len(m.fences.byServer)))
	for _, server := range slices.Sorted(maps.Keys(m.fences.byServer)) {
		held := m.fences.byServer[server]
		e.message(orders.ToFence(held.record))
		e.number(held.changed)
	}
}

func (m *Machine) readFences(d *decoder) {
	m.fences.floor = uint64(d.number())
	for range d.count() {
		var in apiv1.Fence
		d.message(&in)
		m.fences.byServer[in.GetServer()] = &fence{record: orders.FromFence(&in), changed: d.number()}
	}
}

// fence returns the present record of a server.
func (s *State) fence(server string) orders.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.machine.fences.present(server)
}

// AcquireFence implements apiv1.ControlServer. A request without a next record
// does not reach the log.
func (s *Server) AcquireFence(ctx context.Context, in *apiv1.AcquireFenceRequest) (*apiv1.AcquireFenceResponse, error) {
	if in.GetNext() != nil {
		if !validAcquire(in) {
			return &apiv1.AcquireFenceResponse{Code: uint32(result.InvalidRequest)}, nil
		}
		return write[*apiv1.AcquireFenceResponse](ctx, s, "fence", kindFence, in)
	}
	if !class.ValidName(in.GetObserved().GetServer()) {
		return &apiv1.AcquireFenceResponse{Code: uint32(result.InvalidRequest)}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	if err := s.log.ReadBarrier(ctx); err != nil {
		return nil, s.fail(ctx, err)
	}
	return &apiv1.AcquireFenceResponse{Present: orders.ToFence(s.state.fence(in.GetObserved().GetServer()))}, nil
}
