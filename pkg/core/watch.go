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
	// flushInterval bounds the delay of changes that do not close urgentChange.
	// Changes of the fleet state are sent at once.
	flushInterval = 250 * time.Millisecond
	// confirmRetryDelay is the delay between attempts to confirm the state for a
	// new watcher.
	confirmRetryDelay = 100 * time.Millisecond
	confirmTimeout    = 500 * time.Millisecond
)

// watcher is the server side of one Watch stream.
type watcher struct {
	h         *Host
	hello     *apiv1.FleetWatcher
	stream    grpc.BidiStreamingServer[apiv1.FleetWatcher, apiv1.FleetEvent]
	confirmed chan struct{} // closed when the applied state is confirmed by a majority

	first            bool      // no event was built yet
	confirmationSent bool      // events carry the confirmed flag
	version          uint64    // of the last document that was sent
	revision         uint64    // of the last state that was sent
	serverCursor     uint64    // announcements up to this one were sent
	edgeRevision     uint64    // edge hosts up to this revision were sent
	coreTerm         uint64    // term when the core hosts were last sent
	coreCount        int       // number of core hosts then
	lastSent         time.Time // of the last event
}

// Watch implements apiv1.FleetServer. It streams the fleet state, the announcements
// and the hosts to one watcher until the watcher disconnects or sends no heartbeat
// within the idle timeout of the feed.
func (h *Host) Watch(stream grpc.BidiStreamingServer[apiv1.FleetWatcher, apiv1.FleetEvent]) error {
	hello, err := stream.Recv()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	h.attachWatcher(hello)
	defer h.detachWatcher(hello)
	go h.cancelWhenSilent(cancel, stream)
	w := &watcher{h: h, hello: hello, stream: stream, confirmed: make(chan struct{}), first: true}
	go w.awaitConfirmation(ctx)
	return w.run(ctx)
}

// cancelWhenSilent receives the heartbeats of the watcher and cancels the stream
// when none arrives within the idle timeout of the feed.
func (h *Host) cancelWhenSilent(cancel context.CancelFunc, stream grpc.BidiStreamingServer[apiv1.FleetWatcher, apiv1.FleetEvent]) {
	idleTimer := time.AfterFunc(feed.StreamIdleTimeout, cancel)
	defer idleTimer.Stop()
	for {
		m, err := stream.Recv()
		if err != nil {
			cancel()
			return
		}
		idleTimer.Reset(feed.StreamIdleTimeout)
		h.storeVerdicts(m.GetVerdicts())
	}
}

// awaitConfirmation closes confirmed once this host has applied everything that was
// committed when the stream began, so that a restarted edge host does not go back
// to an older state.
func (w *watcher) awaitConfirmation(ctx context.Context) {
	for ctx.Err() == nil {
		if w.h.readBarrier(ctx) == nil {
			close(w.confirmed)
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(confirmRetryDelay):
		}
	}
}

// readBarrier returns after this host has applied every command that was committed
// before the call.
func (h *Host) readBarrier(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	state, err := h.readFromLeader(ctx, false)
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

// run sends events to the watcher until ctx ends or a send fails.
func (w *watcher) run(ctx context.Context) error {
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	confirmed := w.confirmed
	for {
		w.h.mu.Lock()
		urgentChange := w.h.urgentChange
		w.h.mu.Unlock()
		event, changed := w.nextEvent()
		if event != nil {
			if err := w.stream.Send(event); err != nil {
				return err
			}
			w.lastSent = time.Now()
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		case <-urgentChange:
		case <-confirmed:
			confirmed = nil
			w.confirmationSent = true
			w.revision = 0 // sends the state again, with the confirmed flag
		case <-ticker.C:
		}
	}
}

// nextEvent returns an event with everything that the watcher has not received yet,
// nil if there is nothing and no heartbeat is due. The channel is closed on the next
// change of the fleet state.
func (w *watcher) nextEvent() (*apiv1.FleetEvent, <-chan struct{}) {
	e := &apiv1.FleetEvent{Confirmed: w.confirmationSent}
	state, changed := w.h.state.View(w.version)
	sendNow := w.first || time.Since(w.lastSent) >= feed.HeartbeatInterval
	if w.first || state.GetRevision() != w.revision {
		e.State, sendNow = state, true
		state.Verdicts = withAges(time.Now(), state.GetVerdicts())
		w.revision = state.GetRevision()
		w.version = max(w.version, state.GetDocument().GetVersion())
	}
	if w.addCoreMembers(e) {
		sendNow = true
	}
	if w.addAnnouncements(e) {
		sendNow = true
	}
	w.first = false
	if !sendNow {
		return nil, changed
	}
	return e, changed
}

// addAnnouncements adds the servers and edge hosts that changed, and the age of this
// host's information on the unchanged servers. It reports whether any changed.
// Announcements that another core host received are left out, because the watcher
// has a stream to that host.
func (w *watcher) addAnnouncements(e *apiv1.FleetEvent) bool {
	now := time.Now()
	h := w.h
	h.mu.Lock()
	defer h.mu.Unlock()
	before := w.serverCursor
	var entries []registry.Entry
	entries, w.serverCursor = h.servers.ModifiedSince(before)
	for i := range entries {
		if w.first || entries[i].HeardDirectly || entries[i].HandedOverSince(before) {
			e.Servers = append(e.Servers, entries[i].ToProto(now))
		}
	}
	if !h.oldestHeard.IsZero() {
		e.HeardWithinMs = max(now.Sub(h.oldestHeard).Milliseconds(), 1)
	}
	if w.edgeRevision != h.edgeRevision {
		w.addChangedEdges(e, now)
	}
	return len(e.Servers) > 0 || len(e.Edges) > 0
}

// addChangedEdges adds the edge hosts that changed. It requires Host.mu.
func (w *watcher) addChangedEdges(e *apiv1.FleetEvent, now time.Time) {
	for _, edge := range w.h.edges {
		if edge.revision > w.edgeRevision {
			e.Edges = append(e.Edges, edge.toMessage(now))
		}
	}
	w.edgeRevision = w.h.edgeRevision
}

// toMessage returns the message for watchers, with the age of the information if
// the edge host has no stream to this host.
func (e *edge) toMessage(now time.Time) *apiv1.EdgeHost {
	m := e.message
	out := &apiv1.EdgeHost{
		Name: m.GetName(), DataCentre: m.GetDataCentre(), Address: m.GetAddress(), Incarnation: m.GetIncarnation(),
		Connected: e.openStreams > 0,
	}
	if e.openStreams == 0 {
		out.AgeMs = now.Sub(e.seen).Milliseconds()
	}
	return out
}

// addCoreMembers adds the core hosts after a change of the membership and with each
// heartbeat, because watchers forget core hosts that no event lists. It reports
// whether the membership changed.
func (w *watcher) addCoreMembers(e *apiv1.FleetEvent) bool {
	s := w.h.replica.Status()
	heartbeatDue := time.Since(w.lastSent) >= feed.HeartbeatInterval
	if !heartbeatDue && !w.first && s.Term == w.coreTerm && len(s.Members) == w.coreCount {
		return false
	}
	changed := s.Term != w.coreTerm || len(s.Members) != w.coreCount
	w.coreTerm, w.coreCount = s.Term, len(s.Members)
	e.Cores = coreMembers(s)
	return changed
}

// coreMembers converts the members of the replica to messages.
func coreMembers(s replica.Status) []*apiv1.RaftMember {
	out := make([]*apiv1.RaftMember, 0, len(s.Members))
	for _, m := range s.Members {
		out = append(out, &apiv1.RaftMember{Id: m.ID, Identity: m.Identity, Address: m.Address, Learner: m.Learner})
	}
	return out
}

// attachWatcher counts the stream of an edge host, or records the data centre of a
// core host.
func (h *Host) attachWatcher(hello *apiv1.FleetWatcher) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if hello.GetCore() {
		h.coreDataCentres[hello.GetAddress()] = hello.GetDataCentre()
		return
	}
	now := time.Now()
	h.seen(&apiv1.EdgeHost{
		Name: hello.GetName(), DataCentre: hello.GetDataCentre(), Address: hello.GetAddress(), Incarnation: hello.GetIncarnation(),
	}, now)
	e := h.edges[hello.GetName()]
	if e.openStreams++; e.openStreams == 1 {
		h.markEdgeChanged(e)
	}
	h.notifyWatchers()
	h.log.WithField("edge", hello.GetName()).Info("edge host connected")
}

// detachWatcher ends the stream that attachWatcher counted.
func (h *Host) detachWatcher(hello *apiv1.FleetWatcher) {
	if hello.GetCore() {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	e := h.edges[hello.GetName()]
	e.seen = time.Now()
	if e.openStreams--; e.openStreams == 0 {
		h.markEdgeChanged(e)
	}
	h.log.WithField("edge", hello.GetName()).Info("edge host disconnected")
}
