// Package exchange sends the load digests of edge hosts to each other as UDP
// datagrams. Lost, late and repeated datagrams are harmless: digests carry
// cumulative counters and a number.
package exchange

import (
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
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
	Take(m *apiv1.LoadDigest)
}

// Exchange is one socket.
type Exchange struct {
	conn   *net.UDPConn
	source Source
	log    *logrus.Entry

	mu     sync.Mutex // guards peers and logged
	peers  []netip.AddrPort
	logged time.Time
	stop   chan struct{}
	once   sync.Once // closes stop
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
	return x, nil
}

// SetPeers replaces the addresses of the other edge hosts. One that cannot be
// parsed is left out and logged.
func (x *Exchange) SetPeers(addresses []string) {
	peers := make([]netip.AddrPort, 0, len(addresses))
	for _, a := range addresses {
		at, err := netip.ParseAddrPort(a)
		if err != nil {
			x.log.WithError(err).WithField("address", a).Warn("the address of an edge host cannot be read")
			continue
		}
		peers = append(peers, at)
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.peers = peers
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
		x.mu.Lock()
		peers := x.peers
		x.mu.Unlock()
		select {
		case <-x.stop:
			return
		case <-time.After(Interval(len(peers) + 1)):
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

func (x *Exchange) sendTo(peers []netip.AddrPort, m *apiv1.LoadDigest) {
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
		x.source.Take(m)
	}
}
