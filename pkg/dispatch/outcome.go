package dispatch

import (
	"slices"
	"time"
)

// Started tells that an event of a request has come. The first one counts.
func (d *Dispatcher) Started(now time.Time, r *Request) {
	if r.server == nil {
		return
	}
	r.server.heard = now
	if r.started {
		return
	}
	r.started = true
	if r.server.model() {
		r.server.first(now, r)
		r.server.kept.wereRead(now, r.Parts)
	}
}

// Ended tells how a request that was sent has ended. Each Send has one.
func (d *Dispatcher) Ended(now time.Time, r *Request, o Outcome) {
	s := r.server
	if s == nil {
		return
	}
	r.server = nil
	defer func() { r.reserving = false }()
	s.running--
	s.noSlotUntil = time.Time{} // there is one now
	if s.model() {
		s.kv -= r.kv
		switch {
		case r.reserving: // nothing was sent
			s.add(now, -float64(r.loaded))
			s.tokens -= int64(r.loaded)
		case !r.started && o != Whole:
			d.unload(now, r, s)
		}
	}
	switch o {
	case NotExecuted, ConnectFailed, ConnectTimeout, Misdirected, Unused, NoSlot:
		d.shares.serve(now, r.Workspace, -cost(r))
		r.charged = false
	}
	d.learn(now, r, s, o)
}

// HasOther reports whether the service has another server that is up.
func (d *Dispatcher) HasOther(service, id string) bool {
	g := d.services[service]
	return g != nil && slices.ContainsFunc(g.servers, func(s *server) bool {
		return s.info.ID != id && s.info.Ready && s.downSince.IsZero()
	})
}

// HeardSince reports whether the server has sent anything to this edge host
// since then.
func (d *Dispatcher) HeardSince(id string, then time.Time) bool {
	s := d.servers[id]
	return s != nil && s.heard.After(then)
}

// unload takes the tokens back that a request without a first event leaves.
func (d *Dispatcher) unload(now time.Time, r *Request, s *server) {
	left := r.read.Sub(now).Seconds() * s.rate
	left = min(max(left, 0), float64(r.uncached))
	s.add(now, -left)
	s.tokens -= int64(left)
}

func (d *Dispatcher) learn(now time.Time, r *Request, s *server, o Outcome) {
	s.count(o)
	switch o {
	case Whole:
		s.heard = now
		s.success(now)
		if !s.model() {
			s.answered(now, now.Sub(r.sent), r.ahead)
			d.learnService(s)
		}
	case ServerError:
		s.failure(now, 1)
	case NoSlot:
		s.noSlotUntil = now.Add(noSlotPause)
	case NotExecuted:
		s.failure(now, 0.5)
		s.fullUntil = now.Add(fullPause)
	case Broken, Silent, Garbled:
		s.failure(now, 1)
	case ConnectFailed:
		s.failure(now, 0.5)
		s.down(now)
	case ConnectTimeout:
		// One lost packet looks the same; two in a row do not.
		s.failure(now, 0.5)
		if s.timeouts++; s.timeouts > 1 {
			s.down(now)
		}
	case Misdirected:
		s.down(now)
		s.wrong = true
	}
}

// count notes an outcome for the other edge hosts.
func (s *server) count(o Outcome) {
	switch o {
	case Whole:
		s.ends.good++
	case ServerError, Broken, Silent, Garbled, ConnectFailed:
		s.ends.failed++
	}
}

func (d *Dispatcher) learnService(s *server) {
	g := d.services[s.info.Service]
	if g == nil {
		return
	}
	sum := time.Duration(0)
	for _, o := range g.servers {
		sum += o.latency
	}
	g.latency = sum / time.Duration(len(g.servers))
}
