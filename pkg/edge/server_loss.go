package edge

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"jackdawtrack.example/jackdawtrack/pkg/dispatch"
)

const (
	// lossCollectTime is how long lost requests are collected before the server is
	// checked. The connections of a server that ended break within some 10 ms.
	lossCollectTime = 60 * time.Millisecond
	// maxLosses bounds the servers whose losses are collected or wait for a
	// confirmation at the same time.
	maxLosses = 256
	// lossConfirmTime is how long a loss that the check did not confirm waits for
	// the announcement of a new server process at the address.
	lossConfirmTime = 10 * time.Second
	// beginTime is the time from the first event within which a lost connection
	// still counts as lost at the begin of the answer.
	beginTime = 250 * time.Millisecond
	// maxSuspectParts bounds the prompt parts of one loss.
	maxSuspectParts = 256
)

// serverProcess identifies one start of a backend server.
type serverProcess struct {
	id      string
	startMS int64
}

// serverLoss is a server process whose connections to this host were lost.
type serverLoss struct {
	serverProcess
	address  string
	at       time.Time       // of the first lost connection
	parts    map[uint64]bool // of requests whose answer had not begun
	begun    int             // lost requests whose answer had begun
	notBegun int
}

// lossCollector collects requests that lost their connection, by server process.
// It is safe for concurrent use.
type lossCollector struct {
	mu         sync.Mutex
	collecting map[serverProcess]*serverLoss
	// unconfirmed holds, by address, losses at servers that still accept
	// connections: a restarted process or a lost connection.
	unconfirmed map[string]*serverLoss
}

// add records a lost request and returns the loss if it is the first one of the
// server process.
func (c *lossCollector) add(now time.Time, v dispatch.Decision, begun bool, parts []uint64) *serverLoss {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := serverProcess{v.Server, v.StartMS}
	l, first := c.collecting[key], false
	if l == nil {
		if len(c.collecting) >= maxLosses {
			return nil
		}
		if c.collecting == nil {
			c.collecting, c.unconfirmed = map[serverProcess]*serverLoss{}, map[string]*serverLoss{}
		}
		l, first = &serverLoss{serverProcess: key, address: v.Address, at: now, parts: map[uint64]bool{}}, true
		c.collecting[key] = l
	}
	if begun {
		l.begun++
	} else {
		l.notBegun++
		for _, p := range parts {
			if len(l.parts) < maxSuspectParts {
				l.parts[p] = true
			}
		}
	}
	if !first {
		return nil
	}
	return l
}

// finish ends the collection of a loss. Without ended, the loss waits for
// another start at its address.
func (c *lossCollector) finish(l *serverLoss, ended bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.collecting, l.serverProcess)
	if ended || len(l.parts) == 0 {
		return
	}
	for address, other := range c.unconfirmed {
		if l.at.Sub(other.at) > lossConfirmTime {
			delete(c.unconfirmed, address)
		}
	}
	if len(c.unconfirmed) < maxLosses {
		c.unconfirmed[l.address] = l
	}
}

// takeRestarted returns the unconfirmed loss at the address if the given process
// started after the lost one, nil if there is none.
func (c *lossCollector) takeRestarted(now time.Time, address string, startMS int64) *serverLoss {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.unconfirmed[address]
	if l == nil || startMS <= l.startMS {
		return nil
	}
	delete(c.unconfirmed, address)
	if now.Sub(l.at) > lossConfirmTime {
		return nil
	}
	return l
}

// recordLostConnection collects an attempt whose connection was lost, and has the
// server checked after the first one.
func (x *proxiedRequest) recordLostConnection(v dispatch.Decision) {
	x.addLostConnection(v, x.sseParser.count > x.eventsBefore && time.Since(x.firstEventAt) > beginTime)
}

// addLostConnection does so for an attempt whose answer had begun or not.
func (x *proxiedRequest) addLostConnection(v dispatch.Decision, begun bool) {
	if l := x.s.losses.add(time.Now(), v, begun, x.sharedParts); l != nil {
		go x.s.checkLoss(l)
	}
}

// checkLoss finds out whether the server process has ended: then its address
// refuses connections. A connection that is reset or cannot be opened in time proves
// nothing: the server may be full, or the network cut.
func (s *Server) checkLoss(l *serverLoss) {
	select {
	case <-s.ctx.Done():
		return
	case <-time.After(lossCollectTime):
	}
	ctx, cancel := context.WithTimeout(s.ctx, connectTimeout)
	defer cancel()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", l.address)
	if err == nil {
		_ = conn.Close()
	}
	ended := errors.Is(err, syscall.ECONNREFUSED)
	s.losses.finish(l, ended)
	s.logLoss(l, ended, "connection check")
	if ended {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.addLoss(time.Now(), l)
	}
}

// logLoss logs how many requests were lost with a server, and whether its process
// has ended.
func (s *Server) logLoss(l *serverLoss, ended bool, source string) {
	s.log.WithFields(logrus.Fields{
		"server": l.id, "born_ms": l.startMS, "address": l.address, "ended": ended, "source": source, "age_ms": time.Since(l.at).Milliseconds(),
		"begun": l.begun, "not_begun": l.notBegun, "parts": hexIDs(sortedIDs(l.parts)),
	}).Info("connections to a server lost")
}
