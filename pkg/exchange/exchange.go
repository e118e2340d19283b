// Package exchange sends the load digests of edge hosts to each other as UDP
// datagrams. In a large fleet, digests go to the hosts of the same data centre
// only, and other data centres get summaries. Lost, late and repeated datagrams
// are harmless, because digests carry cumulative counters and a sequence number.
package exchange

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"runtime/debug"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/pkg/dispatch"
	"jackdawtrack.example/jackdawtrack/pkg/logging"
	"jackdawtrack.example/jackdawtrack/pkg/result"
)

const (
	// baseDigestInterval is the pause between two digests of a host in a small
	// fleet. An engine reads about 1,000 prompt tokens, one short request, in that
	// time.
	baseDigestInterval = 20 * time.Millisecond
	// baseHostCount is the number of edge hosts up to which baseDigestInterval
	// applies. Above it, the interval grows in proportion, so that a host sends and
	// receives at most baseHostCount/baseDigestInterval datagrams a second.
	baseHostCount = 16
	// maxDigestInterval is the longest pause between two digests, even if nothing
	// has changed. Peers discard load information that is older than 2 s.
	maxDigestInterval = 500 * time.Millisecond
	// minLocalDigestInterval is the minimum pause between two digests in a fleet that
	// uses summaries. Slots of nearly full engines are reserved there, so older load
	// information costs less than more datagrams.
	minLocalDigestInterval = 50 * time.Millisecond
	// summaryInterval is the pause between two summaries for another data centre.
	// They are used to choose an engine there when the local ones are busy.
	summaryInterval = 200 * time.Millisecond
	// summaryFanout is the number of hosts of another data centre that a summary is
	// sent to. Each relays it within its data centre, so one of them may be down.
	summaryFanout = 2
	// maxDatagramBytes is the size of the receive buffer.
	maxDatagramBytes = 64 << 10
	// errorLogInterval is the minimum time between two log lines on failed
	// datagrams.
	errorLogInterval = 5 * time.Second
)

// DigestInterval returns the pause between two digests in a fleet with that many
// edge hosts, this one included.
func DigestInterval(hosts int) time.Duration {
	return baseDigestInterval * time.Duration(max(hosts, baseHostCount)) / baseHostCount
}

// DigestHandler provides the digests to send and merges received ones. Its methods
// are called concurrently.
type DigestHandler interface {
	// Digest returns the next digest, and whether it differs from the last one in
	// anything but its sequence number.
	Digest() (m *apiv1.LoadDigest, changed bool)
	// Summaries returns the summaries to send to other data centres.
	Summaries() []Summary
	// MergeDigest merges a received digest or summary and reports whether it
	// was new.
	MergeDigest(m *apiv1.LoadDigest) bool
}

// Summary is a load summary of this data centre for another one.
type Summary struct {
	DataCentre string // the receiving data centre
	Digest     *apiv1.LoadDigest
}

// Peers holds the addresses (IP and UDP port) of the other edge hosts.
type Peers struct {
	All []string
	// Local holds the hosts of this data centre, Remote those of the others by data
	// centre. Both are used only if SummariesEnabled.
	Local            []string
	Remote           map[string][]string
	SummariesEnabled bool
}

// Exchange sends and receives digests over one UDP socket.
type Exchange struct {
	conn    *net.UDPConn
	handler DigestHandler
	log     *logrus.Entry

	mu           sync.Mutex       // guards peers, remote and lastErrorLog
	peers        []netip.AddrPort // hosts that digests are sent to
	remote       map[string][]netip.AddrPort
	lastErrorLog time.Time
	stop         chan struct{}
	stopOnce     sync.Once // closes stop
}

// Open binds the UDP address (IP and port) and starts to send and receive. It fails
// with InvalidSettings if the address is invalid or cannot be bound.
func Open(address string, handler DigestHandler) (*Exchange, error) {
	at, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, result.Wrap(result.InvalidSettings, err, "invalid digest exchange address")
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, result.Wrap(result.InvalidSettings, err, "cannot listen on UDP address %s", address)
	}
	x := &Exchange{conn: conn, handler: handler, log: logging.ForComponent("exchange"), stop: make(chan struct{})}
	go x.receive()
	go x.sendDigests()
	go x.sendSummaries()
	return x, nil
}

// SetPeers replaces the addresses of the other edge hosts.
func (x *Exchange) SetPeers(p Peers) {
	peers, remote := x.parseAddresses(p.All), map[string][]netip.AddrPort{}
	if p.SummariesEnabled {
		peers = x.parseAddresses(p.Local)
		for name, addresses := range p.Remote {
			remote[name] = x.parseAddresses(addresses)
		}
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.peers, x.remote = peers, remote
}

// parseAddresses skips and logs invalid addresses.
func (x *Exchange) parseAddresses(addresses []string) []netip.AddrPort {
	out := make([]netip.AddrPort, 0, len(addresses))
	for _, a := range addresses {
		at, err := netip.ParseAddrPort(a)
		if err != nil {
			x.log.WithError(err).WithField("address", a).Warn("invalid address of an edge host")
			continue
		}
		out = append(out, at)
	}
	return out
}

// Close stops sending and receiving and closes the socket.
func (x *Exchange) Close() error {
	var err error
	x.stopOnce.Do(func() {
		close(x.stop)
		err = x.conn.Close()
	})
	return err
}

// sendDigests sends digests until the exchange is closed. Unchanged digests are sent
// at maxDigestInterval only.
func (x *Exchange) sendDigests() {
	lastSent := time.Now()
	for {
		peers, summaries := x.digestTargets()
		pause := DigestInterval(len(peers) + 1)
		if summaries {
			pause = max(pause, minLocalDigestInterval)
		}
		if !x.sleep(pause) {
			return
		}
		if len(peers) == 0 {
			continue
		}
		m, changed := x.handler.Digest()
		if !changed && time.Since(lastSent) < maxDigestInterval {
			continue
		}
		lastSent = time.Now()
		x.sendParts(peers, m)
	}
}

// digestTargets returns the hosts that digests are sent to, and whether data
// centres exchange summaries.
func (x *Exchange) digestTargets() ([]netip.AddrPort, bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.peers, len(x.remote) > 0
}

// sleep waits for d. It returns false if the exchange is closed.
func (x *Exchange) sleep(d time.Duration) bool {
	select {
	case <-x.stop:
		return false
	case <-time.After(d):
		return true
	}
}

// sendSummaries sends summaries to the other data centres until the exchange is
// closed.
func (x *Exchange) sendSummaries() {
	for x.sleep(summaryInterval) {
		if _, summaries := x.digestTargets(); !summaries {
			continue
		}
		for _, s := range x.handler.Summaries() {
			x.sendParts(x.pickSummaryTargets(s.DataCentre), s.Digest)
		}
	}
}

// pickSummaryTargets returns up to summaryFanout random hosts of another data
// centre.
func (x *Exchange) pickSummaryTargets(dataCentre string) []netip.AddrPort {
	x.mu.Lock()
	defer x.mu.Unlock()
	all := x.remote[dataCentre]
	out := make([]netip.AddrPort, 0, summaryFanout)
	for _, i := range rand.Perm(len(all))[:min(summaryFanout, len(all))] {
		out = append(out, all[i])
	}
	return out
}

// handleDigest merges a received digest. A new summary of another data centre is
// relayed to the hosts of this one. A panic is logged.
func (x *Exchange) handleDigest(m *apiv1.LoadDigest) {
	defer func() {
		if cause := recover(); cause != nil { // one datagram must not crash the process
			x.log.WithFields(logrus.Fields{"cause": cause, "sender": m.GetRouter(), "stack": string(debug.Stack())}).Error("load digest handler panicked")
		}
	}()
	if !x.handler.MergeDigest(m) || !m.GetRelay() {
		return
	}
	m.Relay = false
	peers, _ := x.digestTargets()
	x.sendParts(peers, m)
}

// sendParts splits a digest into datagrams and sends them to the peers.
func (x *Exchange) sendParts(peers []netip.AddrPort, m *apiv1.LoadDigest) {
	for _, part := range dispatch.SplitDigest(m) {
		x.sendPart(peers, part)
	}
}

func (x *Exchange) sendPart(peers []netip.AddrPort, m *apiv1.LoadDigest) {
	data, err := proto.Marshal(m)
	if err != nil {
		x.logError(err)
		return
	}
	for _, p := range peers {
		if _, err := x.conn.WriteToUDPAddrPort(data, p); err != nil {
			x.logError(err)
		}
	}
}

// logError logs at most one line per errorLogInterval: with a host that is down,
// every datagram to it fails.
func (x *Exchange) logError(err error) {
	x.mu.Lock()
	suppressed := time.Since(x.lastErrorLog) < errorLogInterval
	if !suppressed {
		x.lastErrorLog = time.Now()
	}
	x.mu.Unlock()
	if !suppressed {
		x.log.WithError(err).Warn("load digest not sent or received")
	}
}

// receive handles datagrams until the exchange is closed.
func (x *Exchange) receive() {
	buf := make([]byte, maxDatagramBytes)
	for {
		n, _, err := x.conn.ReadFromUDPAddrPort(buf)
		select {
		case <-x.stop:
			return
		default:
		}
		if err != nil {
			x.logError(err)
			time.Sleep(baseDigestInterval)
			continue
		}
		m := &apiv1.LoadDigest{}
		if err := proto.Unmarshal(buf[:n], m); err != nil {
			x.logError(err)
			continue
		}
		x.handleDigest(m)
	}
}
