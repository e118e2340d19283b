package edge

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"

	"jackdawtrack.example/jackdawtrack/pkg/dispatch"
	"jackdawtrack.example/jackdawtrack/pkg/release"
	"jackdawtrack.example/jackdawtrack/pkg/result"
	"jackdawtrack.example/jackdawtrack/pkg/routing"
	"jackdawtrack.example/jackdawtrack/pkg/streamrecord"
)

// A stream goes on only at the release that began it. The host that began it records the
// release at the core hosts before its caller has the first event. A caller that
// resumes it at any host gets servers of that release only, or is refused: without a
// record, the release is known only if the service has had no other one, and the route no
// other service, within the time in which a caller may come back.

const (
	// recordTimeout bounds the wait of a first event for its record. A core host of the
	// same data centre confirms within a few ms. Without a record, the caller can be
	// refused when it resumes the stream, but never gets a mixed one.
	recordTimeout = 25 * time.Millisecond
	// resumptionMargin is how much longer a record is kept than the caller waits for its
	// answer, for the way to the caller and back.
	resumptionMargin = 2 * time.Second
	// restartNoticeTime is how long the begin of a stream is kept, to doubt its release
	// when another process of its server announces itself.
	restartNoticeTime = streamrecord.MaxDoubtTime
	// recordRenewal is the time between the records of a stream that runs for long. One
	// record counts for twice as long at most.
	recordRenewal = streamrecord.MaxTTL / 2
	// resumptionRetryAfter is the Retry-After of a resumption that no record supports.
	resumptionRetryAfter = 300 * time.Millisecond
	// maxTakeUpsKept bounds the memory of the streams that were taken up lately, whatever
	// callers send. Beyond it a take-up counts as a repeated one.
	maxTakeUpsKept = 16384
)

// Reasons for refusing to resume a stream.
const (
	reasonStreamUnknown   dispatch.Reason = "no host knows which release began the stream"
	reasonReleaseConflict dispatch.Reason = "several releases are recorded for the stream"
	reasonRecordsUnread   dispatch.Reason = "the records of streams could not be read"
	// reasonStateUnconfirmed applies to routes that have no records.
	reasonStateUnconfirmed dispatch.Reason = "the core hosts did not confirm what this host knows"
)

// streamStart is the begin of a stream that its caller may resume. Server.mu guards it.
type streamStart struct {
	key      streamrecord.Key
	expires  time.Time
	server   string
	startMS  int64 // start time of the server process that the request was sent to
	proven   bool  // the connection has named that process, and its announcement the release
	release  release.ID
	at       time.Time
	doubtful bool   // another process may have written it
	abort    func() // ends the attempt that goes on with the stream, nil while the one that began it writes it
}

// UseConnection implements feed.ConnectionUser.
func (s *Server) UseConnection(ctx context.Context, address string, conn *grpc.ClientConn) {
	s.cores.add(conn)
	defer s.cores.remove(conn)
	s.streamRecords.UseConnection(ctx, address, conn)
}

// isResumption reports whether the caller continues a stream that an earlier request
// began.
func (x *proxiedRequest) isResumption() bool {
	return x.route.Stream && (x.in.LastEventID != "" || x.in.Resumes != "")
}

// bindRest binds a request for the rest of an answer on a route that is not declared as
// one of streams to the only release that can have begun it. If that is not known, it
// refuses the request and returns false.
func (x *proxiedRequest) bindRest() bool {
	if x.route.Stream || x.in.LastEventID == "" && x.in.Resumes == "" {
		return true
	}
	id, state := x.soleRelease()
	x.recordFound(state)
	switch state {
	case streamrecord.Sole:
		x.dispatchReq.Release, x.dispatchReq.SoleRelease = id, true
		return true
	case streamrecord.Unconfirmed:
		x.refuseResumption(reasonStateUnconfirmed, result.RecordsUnread)
	default:
		x.refuseResumption(reasonStreamUnknown, result.StreamUnknown)
	}
	return false
}

// recordFound records what was found out about the release of a stream.
func (x *proxiedRequest) recordFound(state streamrecord.State) {
	x.found, x.foundAt = state.String(), time.Now()
	metrics.GetOrRegisterCounter("edge.resumptions."+x.found, x.s.metrics.registry).Inc(1)
}

// recordedID returns the id by which the caller names the stream in a later request: that
// of the attempt that brought its first event. It is "" if the caller may not resume the
// stream, or resumes one without a record, whose name nothing proves.
func (x *proxiedRequest) recordedID() string {
	switch {
	case x.route.RetryPolicy != routing.Resumable:
		return ""
	case !x.isResumption():
		return x.in.ID
	case x.resumesRecord:
		return x.in.Resumes
	}
	return ""
}

// bindRelease binds a resumption to the release that began the stream. If that is not
// known, it refuses the request and returns false.
func (x *proxiedRequest) bindRelease() bool {
	q := streamrecord.Query{Key: streamrecord.KeyOf(x.dispatchReq.Workspace, x.route.Name, x.in.Resumes), Place: x.route.Place()}
	// Without a record, the service of a route with several ones is not known.
	if len(x.route.Targets) == 1 && len(q.Place) <= streamrecord.MaxPlaceBytes {
		q.Service = x.dispatchReq.Service
	} else {
		q.Place = ""
	}
	x.s.noticeSuspension()
	id, state := x.s.streamRecords.Find(x.callerCtx, q)
	x.recordFound(state)
	switch {
	case state == streamrecord.Conflict:
		x.refuseResumption(reasonReleaseConflict, result.StreamUnknown)
	case state == streamrecord.Unconfirmed:
		x.refuseResumption(reasonRecordsUnread, result.RecordsUnread)
	case id == release.Unknown:
		x.refuseResumption(reasonStreamUnknown, result.StreamUnknown)
	case !x.chooseServiceOf(id):
		x.refuseResumption(dispatch.ReasonReleaseGone, result.ReleaseGone)
	default:
		x.dispatchReq.Resumption, x.resumesRecord = true, state == streamrecord.Recorded
		x.dispatchReq.FirstTakeUp = x.resumesRecord && x.s.isFirstTakeUp(q.Key)
		return true
	}
	return false
}

// chooseServiceOf binds the request to the release, at the service of the route that has
// had it. It returns false if the route leads to no such service any more.
func (x *proxiedRequest) chooseServiceOf(id release.ID) bool {
	x.s.mu.Lock()
	defer x.s.mu.Unlock()
	for _, lists := range []func(string, release.ID) bool{x.s.fleetView.releases.lists, x.s.fleetView.releases.agreed} {
		for _, t := range x.route.Targets {
			if lists(t.Service, id) {
				x.dispatchReq.Service, x.dispatchReq.Release = t.Service, id
				return true
			}
		}
	}
	return false
}

// isFirstTakeUp reports whether no other request has continued the stream at this host in
// dispatch.TakeUpWindow.
func (s *Server) isFirstTakeUp(k streamrecord.Key) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.takeUps.Add(time.Now(), k)
}

// forgetUnsentTakeUp lets the next take-up of the stream count as the first one if this one
// was not sent to a server: its caller was refused and comes back.
func (x *proxiedRequest) forgetUnsentTakeUp() {
	if !x.dispatchReq.FirstTakeUp || x.sentAttempts > 0 {
		return
	}
	x.s.mu.Lock()
	defer x.s.mu.Unlock()
	x.s.takeUps.Remove(streamrecord.KeyOf(x.dispatchReq.Workspace, x.route.Name, x.in.Resumes))
}

func (x *proxiedRequest) refuseResumption(reason dispatch.Reason, code result.Code) {
	x.decision.Action, x.decision.Reason = dispatch.Refuse, reason
	x.respondError(result.New(code, "%s", reason).WithRetryAfter(resumptionRetryAfter))
}

// checkRelease reports whether the first events of an attempt may be forwarded: the
// process that the request was sent to is still the newest one of its server, or has
// the release of the stream, and that release is not in doubt. Once it is, the attempt
// ends.
func (x *proxiedRequest) checkRelease(e *serverExchange) bool {
	x.s.mu.Lock()
	defer x.s.mu.Unlock()
	bound := x.dispatchReq.Release
	switch {
	case bound == release.Unknown:
		return !x.headSent
	case x.s.releaseOf(e) != bound || x.headSent && !x.mayGoOnLocked():
		return false
	}
	if x.start != nil {
		x.start.abort = func() { e.cancel(errReleaseDoubtful) }
	}
	return true
}

// errReleaseDoubtful cancels an attempt that goes on with a stream whose first events
// another release may have written.
var errReleaseDoubtful = errors.New("the release that began the stream is in doubt")

// releaseOnArrival returns the release that answers a request which was sent by the
// decision, release.Unknown if the server has been replaced since by one of another
// release. Start times are not compared: a process has one release, and those that state
// no start time look equal. The caller must hold mu.
func (s *Server) releaseOnArrival(v dispatch.Decision) release.ID {
	e, ok := s.fleetView.servers.Get(v.Server)
	if ok && e.Release != v.Release || s.dispatcher.HasEnded(v.Server, v.StartMS) {
		return release.Unknown
	}
	return v.Release
}

// beginStream binds the stream to the release that began it and records that at the core
// hosts. It returns before they have stored it if only one release serves. For a stream
// that the caller resumes it renews the record, because the caller may come back once
// more after this answer, and does not wait: the record before still counts.
func (x *proxiedRequest) beginStream(e *serverExchange) {
	id := x.recordedID()
	if id == "" || x.start != nil {
		return
	}
	now, v := time.Now(), e.decision
	st := &streamStart{
		key: streamrecord.KeyOf(x.dispatchReq.Workspace, x.route.Name, id), expires: x.in.Arrived.Add(max(x.in.CallerTimeout, x.route.Timeout) + resumptionMargin),
		server: v.Server, startMS: v.StartMS, at: now,
	}
	if x.isResumption() { // another process than the one that was asked must not write the rest
		st.abort = func() { e.cancel(errReleaseDoubtful) }
	}
	x.s.mu.Lock()
	st.release, st.proven = x.s.releaseOf(e), e.process.StartMS() != 0 && v.StartMS != 0
	if st.proven {
		st.startMS = e.process.StartMS()
	}
	x.start, x.dispatchReq.Release = st, st.release
	x.s.addStreamStart(st)
	record := st.record()
	x.recordedAt = now
	urgent := !x.isResumption() && (x.s.fleetView.releases.severalReleases(x.dispatchReq.Service) || len(x.route.Targets) > 1 || st.release == release.Unknown)
	x.s.mu.Unlock()
	stored := x.s.streamRecords.Record(record, urgent)
	if !urgent {
		return
	}
	timer := time.NewTimer(recordTimeout)
	defer timer.Stop()
	select {
	case <-stored:
	case <-x.callerCtx.Done():
	case <-timer.C:
		metrics.GetOrRegisterCounter("edge.streams.unrecorded", x.s.metrics.registry).Inc(1)
	}
}

// renewRecord records the stream again if its record may expire while it runs. The
// process that began it is not named: it was not replaced soon after that.
func (x *proxiedRequest) renewRecord(now time.Time) {
	if x.start == nil || now.Sub(x.recordedAt) < recordRenewal {
		return
	}
	x.recordedAt = now
	x.s.mu.Lock()
	record := x.start.record()
	x.s.mu.Unlock()
	if record.Release != release.Unknown {
		record.Process = streamrecord.NoProcess
	}
	x.s.streamRecords.Record(record, false)
}

// record returns the record of the stream. It names the process that was asked, for the
// core hosts to doubt the release if this host ends before another process of the server
// announces itself. If the connection has named the process, there is nothing to doubt, and the
// process is only named if its release is not known yet.
func (st *streamStart) record() streamrecord.Record {
	r := streamrecord.Record{Key: st.key, Release: st.release, Expires: st.expires}
	if !st.doubtful && st.proven == (st.release == release.Unknown) {
		r.Process = streamrecord.ProcessOf(st.server, st.startMS)
	}
	return r
}

// mayGoOn reports whether a stream whose first events were forwarded may go on at
// another server: the release that began it is known.
func (x *proxiedRequest) mayGoOn() bool {
	x.s.mu.Lock()
	defer x.s.mu.Unlock()
	return x.mayGoOnLocked()
}

// mayGoOnLocked is mayGoOn. The caller must hold Server.mu.
func (x *proxiedRequest) mayGoOnLocked() bool {
	if x.start != nil && x.start.proven && !x.start.doubtful && x.dispatchReq.Release == release.Unknown {
		x.dispatchReq.Release = x.start.release // its process has announced itself meanwhile
	}
	return x.dispatchReq.Release != release.Unknown && (x.start == nil || !x.start.doubtful)
}

// addStreamStart keeps the begin of a stream for restartNoticeTime. The caller must
// hold mu.
func (s *Server) addStreamStart(st *streamStart) {
	expired := 0
	for expired < len(s.streamStarts) && st.at.Sub(s.streamStarts[expired].at) > restartNoticeTime {
		s.streamStarts[expired] = nil
		expired++
	}
	s.streamStarts = append(s.streamStarts[expired:], st)
}

// doubtStreams makes the release of the streams unknown that a process of another
// release may have written: it has replaced the one that their requests were sent to.
// The caller must hold mu.
func (s *Server) doubtStreams(now time.Time) {
	doubted := map[streamrecord.Key]bool{}
	for _, st := range s.streamStarts {
		e, ok := s.fleetView.servers.Get(st.server)
		if ok && st.proven && st.release == release.Unknown && e.StartMS == st.startMS {
			s.resolveStart(st, e.Release)
			continue
		}
		if st.doubtful || !ok || e.Release == st.release || st.proven && e.StartMS != st.startMS {
			continue
		}
		silence := time.Duration(0)
		if e.StartMS <= st.startMS && !e.BeforeHeard.IsZero() {
			silence = now.Sub(e.BeforeHeard)
		}
		if now.Sub(st.at) > streamrecord.DoubtWindow(silence) {
			continue
		}
		s.doubt(st)
		doubted[st.key] = true
		s.log.WithFields(logrus.Fields{
			"server": st.server, "born_ms": e.StartMS, "release": e.Release.String(), "asked_born_ms": st.startMS, "proven": st.proven, "begun_before_ms": now.Sub(st.at).Milliseconds(),
		}).Info("release of a stream is in doubt, because its server was restarted")
	}
	if len(doubted) == 0 {
		return
	}
	for _, st := range s.streamStarts {
		if doubted[st.key] && !st.doubtful { // a take-up, or the attempt before it
			s.doubt(st)
		}
	}
}

// resolveStart sets the release of a stream whose process had not announced itself when the
// stream began. The caller must hold mu.
func (s *Server) resolveStart(st *streamStart, id release.ID) {
	if st.doubtful || id == release.Unknown {
		return
	}
	st.release = id
	if n := s.streamRecords.Announce(streamrecord.ProcessOf(st.server, st.startMS), id); n > 0 {
		s.log.WithFields(logrus.Fields{"server": st.server, "born_ms": st.startMS, "release": id.String(), "streams": n}).Info("release of streams is known, because their server has announced itself")
	}
}

// doubt makes the release of the stream unknown and ends the attempt that goes on with
// it. The caller must hold mu.
func (s *Server) doubt(st *streamStart) {
	st.doubtful, st.release = true, release.Unknown
	s.streamRecords.Record(st.record(), true)
	if st.abort != nil {
		st.abort()
	}
}

// recordRelease records the release of the server that wrote the next events of the
// response, and counts a response that several releases wrote.
func (x *proxiedRequest) recordRelease(id release.ID) {
	if slices.Contains(x.releases, id) {
		return
	}
	x.releases = append(x.releases, id)
	if len(x.releases) == 2 {
		metrics.GetOrRegisterCounter("edge.streams.mixed_releases", x.s.metrics.registry).Inc(1)
	}
}
