package router

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"jackdawtrack.example/jackdawtrack/pkg/backend"
	"jackdawtrack.example/jackdawtrack/pkg/losses"
	"jackdawtrack.example/jackdawtrack/pkg/pool"
	"jackdawtrack.example/jackdawtrack/pkg/proxy"
	"jackdawtrack.example/jackdawtrack/pkg/quarantine"
)

const (
	// answerBeginTime is the time from the first byte of an answer within which a
	// lost connection still counts as lost at its begin. Servers that crash on a
	// request do so within some 10 ms of the first byte.
	answerBeginTime = 250 * time.Millisecond
	// lossCheckTimeout bounds the connection attempt that finds out whether a server
	// has ended. Servers are at most a few milliseconds away.
	lossCheckTimeout = time.Second
)

// answerMonitor is a proxy.Sink that detects when the server has begun the answer
// and goes on with it.
type answerMonitor struct {
	proxy.Sink
	r *Router
	q *request

	status      int // 0 before the head
	firstByteAt time.Time
	began       bool // the suspects of the request were cleared
}

// WriteHead implements proxy.Sink.
func (m *answerMonitor) WriteHead(status int, header http.Header) error {
	m.status = status
	return m.Sink.WriteHead(status, header)
}

// Write implements proxy.Sink.
func (m *answerMonitor) Write(p []byte) (int, error) {
	if isAnswer(m.status) {
		m.r.countBegan(m.q)
	}
	if !m.began && isAnswer(m.status) {
		now := time.Now()
		if m.firstByteAt.IsZero() {
			m.firstByteAt = now
		} else if now.Sub(m.firstByteAt) > answerBeginTime {
			m.reportBegan()
		}
	}
	return m.Sink.Write(p)
}

func (m *answerMonitor) reportBegan() {
	m.began = true
	m.r.reportAnswerBegan(m.q, m.firstByteAt, m.status/100 == 2)
}

// observeAttempt adds the result of an attempt to the evidence on its suspects.
func (r *Router) observeAttempt(q *request, g pool.Grant, m *answerMonitor, report proxy.Report) {
	now := time.Now()
	switch {
	case report.Lost:
		// The attempts to resume a stream come after the loss.
		begun := m.began || report.ResumeCount == 0 && !m.firstByteAt.IsZero() && now.Sub(m.firstByteAt) > answerBeginTime
		r.recordLostRequest(now, g, losses.Request{Suspects: q.suspects, Sent: q.dispatchedAt, Started: r.servers.startedAt(g.Server, g.BootID), Begun: begun, Further: q.wasLost})
		q.wasLost = q.wasLost || !begun
	case report.Err == nil && !m.began && isAnswer(m.status):
		if m.firstByteAt.IsZero() || !report.IsStream {
			m.firstByteAt = now
		}
		m.reportBegan()
	}
}

// isAnswer reports whether a response with the status shows that the server did not
// crash on the request. A server that limits its callers may not have looked at it.
func isAnswer(status int) bool {
	return status < http.StatusInternalServerError && status != http.StatusTooManyRequests
}

// recordLostRequest collects a request that lost its connection, and has the server
// checked after the first one.
func (r *Router) recordLostRequest(now time.Time, g pool.Grant, lost losses.Request) {
	p := losses.Process{ID: g.Server, Address: g.Address, BootID: g.BootID}
	if l := r.quarantine.losses.Add(now, p, lost); l != nil {
		go r.checkLoss(l)
	}
	// The announcement of the next process may have come before.
	r.confirmLosses(now, g.Server, g.Address)
}

// checkLoss finds out whether a server process has ended.
func (r *Router) checkLoss(l *losses.Loss) {
	ended := losses.HasEnded(context.Background(), l.Address, lossCheckTimeout)
	confirmed := r.quarantine.losses.Finish(l, ended)
	r.logLoss(l, ended, "connection check")
	if confirmed {
		r.addLoss(time.Now(), l)
	}
}

// noteAnnouncement confirms the losses of earlier processes of a server that has
// announced itself.
func (r *Router) noteAnnouncement(now time.Time, a backend.Announcement) {
	r.confirmLosses(now, a.Name, a.Address)
}

// confirmLosses adds the losses of earlier processes of a server to the evidence.
func (r *Router) confirmLosses(now time.Time, name, address string) {
	for {
		l := r.quarantine.losses.TakeRestarted(now, address, func(p losses.Process) bool {
			return p.ID == name && r.servers.isEarlierBoot(name, p.BootID)
		})
		if l == nil {
			return
		}
		r.logLoss(l, true, "announcement of a new process")
		r.addLoss(now, l)
	}
}

// addLoss adds a confirmed loss to the evidence.
func (r *Router) addLoss(now time.Time, l *losses.Loss) {
	r.counters.serversEnded.Inc(1)
	r.quarantine.mu.Lock()
	r.quarantine.tracker.AddLoss(now, l.Evidence(quarantine.Server{Hash: processHash(l.Process)}))
	changes := r.quarantine.tracker.Poll(now)
	r.quarantine.mu.Unlock()
	r.recordChanges(changes)
}

// processHash returns the hash by which routers merge their reports on a process.
func processHash(p losses.Process) uint64 {
	var boot [8]byte
	for i := range boot {
		boot[i] = byte(p.BootID >> (8 * i))
	}
	d := xxhash.New()
	_, _ = d.WriteString(p.ID)
	_, _ = d.Write(boot[:])
	return d.Sum64()
}

// logLoss logs how many requests were lost with a server, and whether its process
// has ended.
func (r *Router) logLoss(l *losses.Loss, ended bool, source string) {
	requests := make([]uint64, 0, len(l.Requests))
	for _, sent := range l.Requests {
		requests = append(requests, sent.Request)
	}
	r.log.WithFields(logrus.Fields{
		"server": l.ID, "boot_id": l.BootID, "address": l.Address, "ended": ended, "source": source, "age_ms": time.Since(l.At).Milliseconds(),
		"begun": l.Begun, "not_begun": l.NotBegun, "parts": quarantine.FormatList(slices.Sorted(maps.Keys(l.Parts))), "requests": quarantine.FormatList(requests),
	}).Info("connections to a server lost")
}
