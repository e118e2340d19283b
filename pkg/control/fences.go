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

// fences holds the lease record of each engine. Records have no expiry time: a
// successor waits until a record has not changed for long enough by its own
// clock, see package orders. Lease records are not part of the catalog, because
// each renewal would otherwise create a revision and make operator commands
// with an expected revision fail.
type fences struct {
	limit            int
	byServer         map[string]*fenceEntry
	maxEvictedNumber uint64 // greatest fencing number of an evicted record
}

type fenceEntry struct {
	record    orders.LeaseRecord
	changedAt int64 // ms, state machine clock
}

func newFences(limit int) fences {
	return fences{limit: limit, byServer: map[string]*fenceEntry{}}
}

// current returns the lease record of a server. A server without a record
// starts at maxEvictedNumber, so that fencing numbers never decrease.
func (f *fences) current(server string) orders.LeaseRecord {
	if entry, ok := f.byServer[server]; ok {
		return entry.record
	}
	return orders.LeaseRecord{Server: server, Number: f.maxEvictedNumber}
}

// evictIfFull makes room for a new record and reports whether there is room. If
// the table is full, it evicts the least recently changed record, unless that
// record changed after unchangedSince: its lease may still be held.
func (f *fences) evictIfFull(unchangedSince int64) bool {
	if len(f.byServer) < f.limit {
		return true
	}
	var oldest *fenceEntry
	for _, server := range slices.Sorted(maps.Keys(f.byServer)) {
		if entry := f.byServer[server]; oldest == nil || entry.changedAt < oldest.changedAt {
			oldest = entry
		}
	}
	if oldest == nil || oldest.changedAt > unchangedSince {
		return false
	}
	f.maxEvictedNumber = max(f.maxEvictedNumber, oldest.record.Number)
	delete(f.byServer, oldest.record.Server)
	return true
}

// isValidAcquire reports whether the next record is a valid successor of the
// observed one: the next renewal by the same holder, or the first record with
// the next fencing number.
func isValidAcquire(in *apiv1.AcquireFenceRequest) bool {
	observed, next := orders.LeaseRecordFromMessage(in.GetObserved()), orders.LeaseRecordFromMessage(in.GetNext())
	if !class.ValidName(observed.Server) || !class.ValidName(in.GetRouter()) || next.Server != observed.Server {
		return false
	}
	if next.Holder != orders.Holder(in.GetRouter(), in.GetIncarnation()) {
		return false
	}
	isRenewal := next.Holder == observed.Holder && next.Number == observed.Number && next.Renewal == observed.Renewal+1
	isTakeover := next.Number == observed.Number+1 && next.Renewal == 0
	return isRenewal || isTakeover
}

// acquireFence replaces the lease record if it still equals the observed one. A
// call that is retried after a lost response gets FenceStale and its own
// record: the lease starts when the call that wrote the record was sent, and
// that may be an earlier call.
func (m *StateMachine) acquireFence(in *apiv1.AcquireFenceRequest) *apiv1.AcquireFenceResponse {
	if !isValidAcquire(in) {
		return &apiv1.AcquireFenceResponse{Code: uint32(result.InvalidRequest)}
	}
	server := in.GetObserved().GetServer()
	current := m.fences.current(server)
	if orders.LeaseRecordFromMessage(in.GetObserved()) != current {
		return &apiv1.AcquireFenceResponse{Code: uint32(result.FenceStale), Present: orders.LeaseRecordToMessage(current)}
	}
	entry, ok := m.fences.byServer[server]
	if !ok {
		if !m.fences.evictIfFull(m.now - m.limits.fenceTTL.Milliseconds()) {
			return &apiv1.AcquireFenceResponse{Code: uint32(result.QueueFull), Present: orders.LeaseRecordToMessage(current)}
		}
		entry = &fenceEntry{}
		m.fences.byServer[server] = entry
	}
	entry.record, entry.changedAt = orders.LeaseRecordFromMessage(in.GetNext()), m.now
	return &apiv1.AcquireFenceResponse{Present: in.GetNext()}
}

func (m *StateMachine) writeFences(e *encoder) {
	e.uvarint(int64(m.fences.maxEvictedNumber))
	e.uvarint(int64(len(m.fences.byServer)))
	for _, server := range slices.Sorted(maps.Keys(m.fences.byServer)) {
		entry := m.fences.byServer[server]
		e.message(orders.LeaseRecordToMessage(entry.record))
		e.uvarint(entry.changedAt)
	}
}

func (m *StateMachine) readFences(d *decoder) {
	m.fences.maxEvictedNumber = uint64(d.uvarint())
	for range d.itemCount() {
		var in apiv1.Fence
		d.message(&in)
		m.fences.byServer[in.GetServer()] = &fenceEntry{record: orders.LeaseRecordFromMessage(&in), changedAt: d.uvarint()}
	}
}

// currentFence returns the current lease record of a server.
func (s *ReplicatedState) currentFence(server string) orders.LeaseRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.machine.fences.current(server)
}

// AcquireFence implements apiv1.ControlServer. A request without a next record
// only reads the current one and is not written to the log.
func (s *Server) AcquireFence(ctx context.Context, in *apiv1.AcquireFenceRequest) (*apiv1.AcquireFenceResponse, error) {
	if in.GetNext() != nil {
		if !isValidAcquire(in) {
			return &apiv1.AcquireFenceResponse{Code: uint32(result.InvalidRequest)}, nil
		}
		return proposeRequest[*apiv1.AcquireFenceResponse](ctx, s, "fence", kindFence, in)
	}
	if !class.ValidName(in.GetObserved().GetServer()) {
		return &apiv1.AcquireFenceResponse{Code: uint32(result.InvalidRequest)}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := s.log.ReadBarrier(ctx); err != nil {
		return nil, s.grpcError(ctx, err)
	}
	return &apiv1.AcquireFenceResponse{Present: orders.LeaseRecordToMessage(s.state.currentFence(in.GetObserved().GetServer()))}, nil
}
