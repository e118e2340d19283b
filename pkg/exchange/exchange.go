// Package exchange sends the load digests of edge hosts to each other as UDP
// datagrams, and summaries of their data centres in a large fleet. Lost, late
// and repeated datagrams are harmless: they carry cumulative counters and a
// number.
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
	// baseInterval is the pause between two digests among few edge hosts; an
	// engine reads about 1,000 tokens, one short request, in that time.
	baseInterval = 20 * time.Millisecond
	// baseHosts is the number of edge hosts up to which baseInterval holds.
	// Beyond it the interval grows in proportion, so that a host handles at
	// most baseHosts/baseInterval datagrams a second each way.
	baseHosts = 16
	// idleInterval is the longest pause; peers drop a load after 2 s.
	idleInterval = 500 * time.Millisecond
	// groupInterval is the least pause between two digests in a fleet of which
	// this host tells its own data centre alone. Slots are reserved at engines
	// that are nearly full, so older beliefs cost less than datagrams.
	groupInterval = 50 * time.Millisecond
	// summaryInterval is the pause between two summaries for another data centre.
	// They serve the choice of an engine there when those here are busy.
	summaryInterval = 200 * time.Millisecond
	// receivers is to how many hosts of another data centre a summary goes. Each
	// passes it on, so one that is down costs nothing.
	receivers = 2
	// maxDatagram bounds what is read.
	maxDatagram = 64 << 10
	// errorInterval bounds the log lines about failed datagrams.
	errorInterval = 5 * time.Second
)

// Interval returns the pause between two digests of a fleet of that many edge
// hosts.
func Interval(hosts int) time.Duration {
	return baseInterval * time.Duration(max(hosts, baseHosts)) / baseHosts
}

// Source makes and takes digests. Its methods are called by several
// goroutines.
type Source interface {
	// Digest returns the next digest, and whether anything in it has changed
	// since the last one.
	Digest() (m *apiv1.LoadDigest, changed bool)
	// Summaries returns what this host tells other data centres.
	Summaries() []Summary
	// Take reports whether the digest was news.
	Take(m *apiv1.LoadDigest) bool
}

// Summary is what one data centre tells another one.
type Summary struct {
	DataCentre string // that it is for
	Digest     *apiv1.LoadDigest
}

// Peers are the addresses of the other edge hosts.
type Peers struct {
	All []string
	// Near are those of this data centre, and Elsewhere those of the others, if
	// data centres tell each other summaries.
	Near      []string
	Elsewhere map[string][]string
	Summaries bool
}

// Exchange is one socket.
type Exchange struct {
	conn   *net.UDPConn
	source Source
	log    *logrus.Entry

	mu        sync.Mutex       // guards the peers and logged
	peers     []netip.AddrPort // that get digests
	elsewhere map[string][]netip.AddrPort
	logged    time.Time
	stop      chan struct{}
	once      sync.Once // closes stop
}

// Open listens at the address and starts the exchange.
func Open(address string, source Source) (*Exchange, error) {
	at, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, result.Wrap(result.InvalidSettings, err, "address of the exchange")
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, result.Wrap(result.InvalidSettings, err, "address %s cannot be opened", address)
	}
	x := &Exchange{conn: conn, source: source, log: logging.For("exchange"), stop: make(chan struct{})}
	go x.receive()
	go x.send()
	go x.sendSummaries()
	return x, nil
}

// SetPeers replaces the other edge hosts.
func (x *Exchange) SetPeers(p Peers) {
	peers, elsewhere := x.parse(p.All), map[string][]netip.AddrPort{}
	if p.Summaries {
		peers = x.parse(p.Near)
		for name, addresses := range p.Elsewhere {
			elsewhere[name] = x.parse(addresses)
		}
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.peers, x.elsewhere = peers, elsewhere
}

// parse leaves out and logs what is no address.
func (x *Exchange) parse(addresses []string) []netip.AddrPort {
	out := make([]netip.AddrPort, 0, len(addresses))
	for _, a := range addresses {
		at, err := netip.ParseAddrPort(a)
		if err != nil {
			x.log.WithError(err).WithField("address", a).Warn("the address of an edge host cannot be read")
			continue
		}
		out = append(out, at)
	}
	return out
}

// Close ends the exchange.
func (x *Exchange) Close() error {
	var err error
	x.once.Do(func() {
		close(x.stop)
		err = x.conn.Close()
	})
	return err
}

func (x *Exchange) send() {
	last := time.Now()
	for {
		peers, summaries := x.near()
		pause := Interval(len(peers) + 1)
		if summaries {
			pause = max(pause, groupInterval)
		}
		if !x.sleep(pause) {
			return
		}
		if len(peers) == 0 {
			continue
		}
		m, changed := x.source.Digest()
		if !changed && time.Since(last) < idleInterval {
			continue
		}
		last = time.Now()
		x.sendTo(peers, m)
	}
}

// near returns the peers that get digests, and whether data centres tell each
// other summaries.
func (x *Exchange) near() ([]netip.AddrPort, bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.peers, len(x.elsewhere) > 0
}

// sleep reports false when the exchange has ended.
func (x *Exchange) sleep(d time.Duration) bool {
	select {
	case <-x.stop:
		return false
	case <-time.After(d):
		return true
	}
}

func (x *Exchange) sendSummaries() {
	for x.sleep(summaryInterval) {
		if _, summaries := x.near(); !summaries {
			continue
		}
		for _, s := range x.source.Summaries() {
			x.sendTo(x.some(s.DataCentre), s.Digest)
		}
	}
}

// some returns a few hosts of another data centre, other ones each time.
func (x *Exchange) some(dataCentre string) []netip.AddrPort {
	x.mu.Lock()
	defer x.mu.Unlock()
	all := x.elsewhere[dataCentre]
	out := make([]netip.AddrPort, 0, receivers)
	for _, i := range rand.Perm(len(all))[:min(receivers, len(all))] {
		out = append(out, all[i])
	}
	return out
}

// take passes a summary of another data centre on if it is news.
func (x *Exchange) take(m *apiv1.LoadDigest) {
	defer func() {
		if cause := recover(); cause != nil { // one datagram must not end the process
			x.log.WithFields(logrus.Fields{"cause": cause, "sender": m.GetRouter(), "stack": string(debug.Stack())}).Error("the handling of a digest failed")
		}
	}()
	if !x.source.Take(m) || !m.GetRelay() {
		return
	}
	m.Relay = false
	peers, _ := x.near()
	x.sendTo(peers, m)
}

func (x *Exchange) sendTo(peers []netip.AddrPort, m *apiv1.LoadDigest) {
	for _, part := range dispatch.Split(m) {
		x.sendPart(peers, part)
	}
}

func (x *Exchange) sendPart(peers []netip.AddrPort, m *apiv1.LoadDigest) {
	data, err := proto.Marshal(m)
	if err != nil {
		x.failed(err)
		return
	}
	for _, p := range peers {
		if _, err := x.conn.WriteToUDPAddrPort(data, p); err != nil {
			x.failed(err)
		}
	}
}

// failed logs at most one line per errorInterval: a host that is down fails
// each datagram.
func (x *Exchange) failed(err error) {
	x.mu.Lock()
	quiet := time.Since(x.logged) < errorInterval
	if !quiet {
		x.logged = time.Now()
	}
	x.mu.Unlock()
	if !quiet {
		x.log.WithError(err).Warn("a load digest was not exchanged")
	}
}

func (x *Exchange) receive() {
	buf := make([]byte, maxDatagram)
	for {
		n, _, err := x.conn.ReadFromUDPAddrPort(buf)
		select {
		case <-x.stop:
			return
		default:
		}
		if err != nil {
			x.failed(err)
			time.Sleep(baseInterval)
			continue
		}
		m := &apiv1.LoadDigest{}
		if err := proto.Unmarshal(buf[:n], m); err != nil {
			x.failed(err)
			continue
		}
		x.take(m)
	}
}
