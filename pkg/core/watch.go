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
	// flushInterval bounds how long a renewed announcement waits to be
	// streamed. State changes are streamed at once.
	flushInterval = 250 * time.Millisecond
	// renewalShare is the interval of renewals for each server, so that a host
	// gets 400 a second at most from all core hosts, 24 KB. Up to 100 servers
	// they go out with each flush. renewalMost keeps them well inside the
	// minute after which a silent server is forgotten.
	renewalShare = 2500 * time.Microsecond
	renewalMost  = 15 * time.Second
	// confirmInterval is the pause between attempts to confirm the state for
	// a new watcher.
	confirmInterval = 100 * time.Millisecond
	confirmTimeout  = 500 * time.Millisecond
	// edgeRefresh is how often edge hosts are named without a change, well
	// within the minute after which they are forgotten.
	edgeRefresh = 10 * time.Second
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
	cursor    uint64    // of announcements
	modified  uint64    // of those that changed more than times
	renewedAt time.Time // when renewed announcements were sent last
	edgeRev   uint64
	edgesAt   time.Time // when edge hosts were named last
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

// announcements adds the servers and edge hosts that changed. Later ones that
// another core host heard are left out: the watcher has a stream to that host.
func (w *watcher) announcements(e *apiv1.FleetEvent) bool {
	now := time.Now()
	h := w.h
	h.mu.Lock()
	defer h.mu.Unlock()
	entries := w.entries(now)
	for i := range entries {
		if w.first || entries[i].Direct {
			e.Servers = append(e.Servers, entries[i].Message(now))
		}
	}
	if w.first || w.edgeRev != h.edgeRev || now.Sub(w.edgesAt) >= edgeRefresh {
		w.edgeRev, w.edgesAt = h.edgeRev, now
		for _, edge := range h.edges {
			e.Edges = append(e.Edges, edge.list(now))
		}
	}
	return len(e.Servers) > 0 || len(e.Edges) > 0
}

// entries returns the announcements that the watcher needs now; it needs the
// lock. Changes go out at once, renewals as often as renewalShare allows.
func (w *watcher) entries(now time.Time) (out []registry.Entry) {
	servers := w.h.servers
	if now.Sub(w.renewedAt) < renewalInterval(servers.Len()) {
		out, w.modified = servers.ModifiedSince(w.modified)
		return out
	}
	out, w.cursor = servers.Since(w.cursor)
	w.modified, w.renewedAt = w.cursor, now
	return out
}

// renewalInterval returns how often announcements are sent that say nothing
// new but that a server is still there.
func renewalInterval(servers int) time.Duration {
	return min(max(time.Duration(servers)*renewalShare, flushInterval), renewalMost)
}

func (e *edge) list(now time.Time) *apiv1.EdgeHost {
	m := e.message
	out := &apiv1.EdgeHost{Name: m.GetName(), DataCentre: m.GetDataCentre(), Address: m.GetAddress(), Incarnation: m.GetIncarnation()}
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
	h.edges[hello.GetName()].streams++
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
	e.streams--
	e.seen = time.Now()
	h.log.WithField("edge", hello.GetName()).Info("an edge host disconnected")
}
