package dispatch

import "time"

// RecordEvent records an event of a running request. The first one updates the
// estimates of the engine.
func (d *Dispatcher) RecordEvent(now time.Time, r *Request) {
	if r.server == nil {
		return
	}
	r.server.heardAt = now
	if r.firstEventSeen {
		return
	}
	r.firstEventSeen, r.begun = true, true
	if r.server.isEngine() {
		r.server.learnFromFirstEvent(now, r, d.knewCachedParts(r.sentAt))
		r.server.cachedParts.markPrefilled(now, r.Parts)
	}
}

// knewCachedParts reports whether the other edge hosts had told this one at that time which
// parts the engines use. Until then it takes cached tokens for prefilled ones, and a rate
// that is learned from them is too high.
func (d *Dispatcher) knewCachedParts(then time.Time) bool {
	return d.edges == 1 || then.Sub(d.startedAt) >= republishInterval
}

// RecordOutcome records the outcome of a request. It must be called once for
// each Send.
func (d *Dispatcher) RecordOutcome(now time.Time, r *Request, o Outcome) {
	s := r.server
	if s == nil {
		return
	}
	r.server = nil
	defer func() { r.slotPending = false }()
	r.overtakeFailed = r.overtakeFailed || r.slotPending && now.Sub(r.sentAt) > maxReservationTime
	s.running--
	s.noSlotUntil = time.Time{} // a slot has become free
	if s.isEngine() {
		s.kvTokens -= r.kvTokens
		switch {
		case r.slotPending: // nothing was sent
			s.addTokens(now, -float64(r.addedTokens))
			s.sentTokens -= int64(r.addedTokens)
		case !r.firstEventSeen && o != Completed:
			d.removePendingTokens(now, r, s)
		}
	}
	switch o {
	case NotSent, NoSlot, ConnectFailed, ConnectTimeout:
		d.returnTokens(r, s)
	}
	switch o {
	// After a lost connection the caller needs the whole request again, so the work
	// of the server does not count against its workspace.
	case NotExecuted, ConnectFailed, ConnectTimeout, Misdirected, NotSent, NoSlot, ConnectionLost:
		if !r.isHedge {
			d.shares.recordServed(now, r.Workspace, -serviceTokens(r))
			r.usageCounted = false
		}
	}
	d.applyOutcome(now, r, s, o)
}

// HeardSince reports whether the server has sent an event or an answer to this
// edge host after the given time, or is no longer known: a new configuration may have
// removed its service while it works.
func (d *Dispatcher) HeardSince(id string, then time.Time) bool {
	s := d.servers[id]
	return s == nil || s.heardAt.After(then)
}

// removePendingTokens removes from the backlog what the engine has not prefilled
// of a request that ended without a first event.
func (d *Dispatcher) removePendingTokens(now time.Time, r *Request, s *server) {
	pendingTokens := r.prefillDoneAt.Sub(now).Seconds() * s.prefillRate
	pendingTokens = min(max(pendingTokens, 0), float64(r.uncachedTokens))
	s.addTokens(now, -pendingTokens)
	s.sentTokens -= int64(pendingTokens)
}

// applyOutcome updates the state of the server after a request.
func (d *Dispatcher) applyOutcome(now time.Time, r *Request, s *server, o Outcome) {
	s.countOutcome(o)
	switch o {
	case Completed:
		s.heardAt = now
		s.recordSuccess(now)
		if !s.isEngine() {
			s.recordLatency(now, now.Sub(r.sentAt), r.loadAtSend)
			d.updateServiceLatency(s)
		}
	case ServerError:
		s.recordFailure(now, 1)
	case NoSlot:
		s.noSlotUntil = now.Add(noSlotBackoff)
	case NotExecuted:
		s.recordFailure(now, 0.5)
		s.fullUntil = now.Add(fullBackoff)
	case ConnectionLost, ResponseTimeout, InvalidResponse:
		s.recordFailure(now, 1)
	case ConnectFailed:
		s.recordFailure(now, 0.5)
		s.markDown(now)
	case ConnectTimeout:
		// A single timeout may be a lost packet; mark the server down after
		// two in a row.
		s.recordFailure(now, 0.5)
		if s.connectTimeouts++; s.connectTimeouts > 1 {
			s.markDown(now)
		}
	case Misdirected:
		s.markDown(now)
		s.misdirected = true
	}
}

// countOutcome counts an outcome for the digests.
func (s *server) countOutcome(o Outcome) {
	switch o {
	case Completed:
		s.outcomeCounts.good++
	case ServerError, ConnectionLost, ResponseTimeout, InvalidResponse, ConnectFailed:
		s.outcomeCounts.failed++
	}
}

// updateServiceLatency recomputes the mean answer time of the service of a
// server.
func (d *Dispatcher) updateServiceLatency(s *server) {
	svc := d.services[s.info.Service]
	if svc == nil {
		return
	}
	sum := time.Duration(0)
	for _, o := range svc.servers {
		sum += o.latency
	}
	svc.latency = sum / time.Duration(len(svc.servers))
}
