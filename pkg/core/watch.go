package core

import (
	"context"
	"time"

	"google.golang.org/grpc"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/pkg/feed"
	"jackdawtrack.example/jackdawtrack/pkg/registry"
	"jackdawtrack.example/jackdawtrack/pkg/replica"
)

const (
	// flushInterval bounds how long a change that is not urgent waits to be
	// streamed. State changes are streamed at once.
	flushInterval = 250 * time.Millisecond
	// confirmInterval is the pause between attempts to confirm the state for
	// a new watcher.
	confirmInterval = 100 * time.Millisecond
	confirmTimeout  = 500 * time.Millisecond
)

// watcher is the state of one stream.
type watcher struct {
	h         *Host
	hello     *apiv1.FleetWatcher
	stream    grpc.BidiStreamingServer[apiv1.FleetWatcher, apiv1.FleetEvent]
	confirmed chan struct{} // closed when a majority has confirmed the state

	first     bool
	told      bool // that the state is confirmed
	version   uint64
	revision  uint64
	modified  uint64 // cursor of announcements
	edgeRev   uint64 // cursor of edge hosts
	coreTerm  uint64
	coreCount int
	sent      time.Time
}

// Watch implements apiv1.FleetServer.
func (h *Host) Watch(stream grpc.BidiStreamingServer[apiv1.FleetWatcher, apiv1.FleetEvent]) error {
	hello, err := stream.Recv()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	h.attach(hello)
	defer h.detach(hello)
	go h.listenTo(cancel, stream)
	w := &watcher{h: h, hello: hello, stream: stream, confirmed: make(chan struct{}), first: true}
	go w.confirm(ctx)
	return w.run(ctx)
}

// listenTo ends the stream when the watcher has gone silent.
func (h *Host) listenTo(cancel context.CancelFunc, stream grpc.BidiStreamingServer[apiv1.FleetWatcher, apiv1.FleetEvent]) {
	silence := time.AfterFunc(feed.SilenceLimit, cancel)
	defer silence.Stop()
	for {
		if _, err := stream.Recv(); err != nil {
			cancel()
			return
		}
		silence.Reset(feed.SilenceLimit)
	}
}

// confirm makes sure that this host has applied all that was committed when
// the stream began, so that a restarted edge host does not go back.
func (w *watcher) confirm(ctx context.Context) {
	for ctx.Err() == nil {
		if w.h.barrier(ctx) == nil {
			close(w.confirmed)
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(confirmInterval):
		}
	}
}

// barrier returns after this host has applied every command that was committed
// before the call.
func (h *Host) barrier(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	state, err := h.readLeader(ctx, false)
	if err != nil {
		return err
	}
	for {
		view, changed := h.state.View(^uint64(0))
		if view.GetRevision() >= state.GetRevision() {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (w *watcher) run(ctx context.Context) error {
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	confirmed := w.confirmed
	for {
		w.h.mu.Lock()
		urgent := w.h.urgent
		w.h.mu.Unlock()
		event, changed := w.next()
		if event != nil {
			if err := w.stream.Send(event); err != nil {
				return err
			}
			w.sent = time.Now()
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		case <-urgent:
		case <-confirmed:
			confirmed = nil
			w.told = true
			w.revision = 0 // sends the state with the mark
		case <-ticker.C:
		}
	}
}

// next returns what the watcher does not have yet, nil if there is nothing and
// no heartbeat is due.
func (w *watcher) next() (*apiv1.FleetEvent, <-chan struct{}) {
	e := &apiv1.FleetEvent{Confirmed: w.told}
	state, changed := w.h.state.View(w.version)
	due := w.first || time.Since(w.sent) >= feed.HeartbeatInterval
	if w.first || state.GetRevision() != w.revision {
		e.State, due = state, true
		w.revision = state.GetRevision()
		w.version = max(w.version, state.GetDocument().GetVersion())
	}
	if w.members(e) {
		due = true
	}
	if w.announcements(e) {
		due = true
	}
	w.first = false
	if !due {
		return nil, changed
	}
	return e, changed
}

// announcements adds the servers and edge hosts that changed, and how fresh
// this host's knowledge of the others is. What another core host heard is left
// out: the watcher has a stream to that host.
func (w *watcher) announcements(e *apiv1.FleetEvent) bool {
	now := time.Now()
	h := w.h
	h.mu.Lock()
	defer h.mu.Unlock()
	before := w.modified
	var entries []registry.Entry
	entries, w.modified = h.servers.ModifiedSince(before)
	for i := range entries {
		if w.first || entries[i].Direct || entries[i].ReleasedSince(before) {
			e.Servers = append(e.Servers, entries[i].Message(now))
		}
	}
	if !h.oldestHeard.IsZero() {
		e.HeardWithinMs = max(now.Sub(h.oldestHeard).Milliseconds(), 1)
	}
	if w.edgeRev != h.edgeRev {
		w.edgesSince(e, now)
	}
	return len(e.Servers) > 0 || len(e.Edges) > 0
}

// edgesSince adds the edge hosts that changed. It needs the lock.
func (w *watcher) edgesSince(e *apiv1.FleetEvent, now time.Time) {
	for _, edge := range w.h.edges {
		if edge.changed > w.edgeRev {
			e.Edges = append(e.Edges, edge.list(now))
		}
	}
	w.edgeRev = w.h.edgeRev
}

func (e *edge) list(now time.Time) *apiv1.EdgeHost {
	m := e.message
	out := &apiv1.EdgeHost{
		Name: m.GetName(), DataCentre: m.GetDataCentre(), Address: m.GetAddress(), Incarnation: m.GetIncarnation(),
		Connected: e.streams > 0,
	}
	if e.streams == 0 {
		out.AgeMs = now.Sub(e.seen).Milliseconds()
	}
	return out
}

// members adds the core hosts after a change of the membership and from time
// to time, because hosts forget core hosts that nobody names.
func (w *watcher) members(e *apiv1.FleetEvent) bool {
	s := w.h.replica.Status()
	beat := time.Since(w.sent) >= feed.HeartbeatInterval
	if !beat && !w.first && s.Term == w.coreTerm && len(s.Members) == w.coreCount {
		return false
	}
	changed := s.Term != w.coreTerm || len(s.Members) != w.coreCount
	w.coreTerm, w.coreCount = s.Term, len(s.Members)
	e.Cores = coreList(s)
	return changed
}

func coreList(s replica.Status) []*apiv1.RaftMember {
	out := make([]*apiv1.RaftMember, 0, len(s.Members))
	for _, m := range s.Members {
		out = append(out, &apiv1.RaftMember{Id: m.ID, Identity: m.Identity, Address: m.Address, Learner: m.Learner})
	}
	return out
}

// attach counts the stream of an edge host, and notes where core hosts are.
func (h *Host) attach(hello *apiv1.FleetWatcher) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if hello.GetCore() {
		h.places[hello.GetAddress()] = hello.GetDataCentre()
		return
	}
	now := time.Now()
	h.seen(&apiv1.EdgeHost{
		Name: hello.GetName(), DataCentre: hello.GetDataCentre(), Address: hello.GetAddress(), Incarnation: hello.GetIncarnation(),
	}, now)
	e := h.edges[hello.GetName()]
	if e.streams++; e.streams == 1 {
		h.edgeChanged(e)
	}
	h.signal()
	h.log.WithField("edge", hello.GetName()).Info("an edge host connected")
}

func (h *Host) detach(hello *apiv1.FleetWatcher) {
	if hello.GetCore() {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	e := h.edges[hello.GetName()]
	e.seen = time.Now()
	if e.streams--; e.streams == 0 {
		h.edgeChanged(e)
	}
	h.log.WithField("edge", hello.GetName()).Info("an edge host disconnected")
}
