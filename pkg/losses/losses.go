// Package losses collects the requests that lost their connection to a backend
// server, by server process, and finds out whether the process has ended. It
// supplies the evidence of package quarantine on both paths.
package losses

import (
	"context"
	"errors"
	"maps"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"jackdawtrack.example/jackdawtrack/pkg/quarantine"
)

const (
	// CollectTime is how long lost requests are collected before the server is
	// checked. The connections of a server that ended break within some 10 ms.
	CollectTime = 60 * time.Millisecond
	// maxLosses bounds the servers whose losses are collected or wait for a
	// confirmation at the same time.
	maxLosses = 256
	// confirmTime is how long a loss that the check did not confirm waits for the
	// announcement of a new server process at the address.
	confirmTime = 10 * time.Second
	// maxSuspects bounds the prompt parts and the requests of one loss.
	maxSuspects = 256
)

// Process identifies one start of a backend server. Servers state StartMS or BootID;
// the other one is 0.
type Process struct {
	ID      string
	Address string // IP and port
	StartMS int64  // start by the server's own clock, Unix milliseconds
	BootID  uint64 // chosen at the start, without order
}

// Request is a request that lost its connection.
type Request struct {
	Suspects []uint64 // its shared prompt parts, and the request itself
	Sent     time.Time
	Started  time.Time // of the server process, zero if this host did not see it
	Begun    bool      // its answer had begun
	Further  bool      // the host had lost it with another server, for the same try of its caller
}

// Loss is a server process whose connections to this host were lost.
type Loss struct {
	Process
	At       time.Time // of the first lost connection
	Started  time.Time // of the process, zero if this host did not see it
	Begun    int       // lost requests whose answer had begun
	NotBegun int
	Parts    map[uint64]bool   // prompt parts of the requests whose answer had not begun
	Requests []quarantine.Sent // these requests
}

// Evidence returns the loss as a report for package quarantine.
func (l *Loss) Evidence(server quarantine.Server) quarantine.Loss {
	return quarantine.Loss{Server: server, At: l.At, Parts: slices.Sorted(maps.Keys(l.Parts)), Requests: l.Requests, Lost: l.NotBegun, Started: l.Started}
}

// Collector collects lost requests by server process. Its zero value is ready to use.
// It is safe for concurrent use.
type Collector struct {
	mu         sync.Mutex
	collecting map[Process]*Loss
	// unconfirmed holds, by address, losses at servers that still accept
	// connections: a restarted process or a lost connection.
	unconfirmed map[string]*Loss
}

// Add records a lost request and returns the loss if it is the first one of the
// server process, nil otherwise or if too many are collected.
func (c *Collector) Add(now time.Time, p Process, r Request) *Loss {
	c.mu.Lock()
	defer c.mu.Unlock()
	l, first := c.collecting[p], false
	if l == nil {
		if len(c.collecting) >= maxLosses {
			return nil
		}
		if c.collecting == nil {
			c.collecting, c.unconfirmed = map[Process]*Loss{}, map[string]*Loss{}
		}
		l, first = &Loss{Process: p, At: now, Started: r.Started, Parts: map[uint64]bool{}}, true
		c.collecting[p] = l
	}
	l.add(r)
	if !first {
		return nil
	}
	return l
}

func (l *Loss) add(r Request) {
	if r.Begun {
		l.Begun++
		return
	}
	l.NotBegun++
	for _, suspect := range r.Suspects {
		switch {
		case !quarantine.IsRequest(suspect) && len(l.Parts) < maxSuspects:
			l.Parts[suspect] = true
		case quarantine.IsRequest(suspect):
			sent := quarantine.Sent{Request: suspect, At: r.Sent, Copy: quarantine.FirstCopy}
			if r.Further {
				sent.Copy = quarantine.FurtherCopy
			}
			l.addRequest(sent)
		}
	}
}

// addRequest adds a request. Of its copies the one that was sent last counts, and a first
// copy before a further one.
func (l *Loss) addRequest(r quarantine.Sent) {
	i := slices.IndexFunc(l.Requests, func(other quarantine.Sent) bool { return other.Request == r.Request })
	switch {
	case i >= 0:
		if r.At.After(l.Requests[i].At) {
			l.Requests[i].At = r.At
		}
		l.Requests[i].Copy = min(l.Requests[i].Copy, r.Copy)
	case len(l.Requests) < maxSuspects:
		l.Requests = append(l.Requests, r)
	}
}

// Finish ends the collection of a loss, and reports whether the caller has to report
// it: the process has ended, and TakeRestarted has not returned the loss before.
// Without ended, the loss waits for another start at its address.
func (c *Collector) Finish(l *Loss, ended bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.collecting[l.Process] != l {
		return false
	}
	delete(c.collecting, l.Process)
	if ended || l.NotBegun == 0 {
		return ended
	}
	for address, other := range c.unconfirmed {
		if l.At.Sub(other.At) > confirmTime {
			delete(c.unconfirmed, address)
		}
	}
	if len(c.unconfirmed) < maxLosses {
		c.unconfirmed[l.Address] = l
	}
	return false
}

// TakeRestarted returns a loss at the address whose process has ended according to
// ended, nil if there is none. It returns each loss once. A loss that is still being
// collected is complete enough: its connections broke before the next start.
func (c *Collector) TakeRestarted(now time.Time, address string, ended func(Process) bool) *Loss {
	c.mu.Lock()
	defer c.mu.Unlock()
	for p, l := range c.collecting {
		if p.Address == address && l.NotBegun > 0 && ended(p) {
			delete(c.collecting, p)
			return l
		}
	}
	l := c.unconfirmed[address]
	if l == nil || !ended(l.Process) {
		return nil
	}
	delete(c.unconfirmed, address)
	if now.Sub(l.At) > confirmTime {
		return nil
	}
	return l
}

// HasEnded waits for the other lost requests of a server process, and reports
// whether its address refuses connections then. A connection that is reset or cannot
// be opened within the timeout proves nothing: the server may be full, or the network
// cut.
func HasEnded(ctx context.Context, address string, timeout time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(CollectTime):
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err == nil {
		_ = conn.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}
