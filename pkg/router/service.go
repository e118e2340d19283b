package router

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/pkg/catalog"
	"jackdawtrack.example/jackdawtrack/pkg/controlclient"
	"jackdawtrack.example/jackdawtrack/pkg/logging"
	"jackdawtrack.example/jackdawtrack/pkg/ownership"
	"jackdawtrack.example/jackdawtrack/pkg/peer"
	"jackdawtrack.example/jackdawtrack/pkg/pool"
)

// sessionInterval is how often a router renews the session that keeps its
// keyed requests running.
const sessionInterval = 2 * time.Second

// errStopped ends a service at once.
var errStopped = errors.New("stopped by a second signal")

// Service is a router with its listeners, its connections to other routers and
// to control.
type Service struct {
	cfg      *Config
	router   *Router
	store    *catalog.Store
	control  *controlclient.Client // nil without control hosts
	exchange *peer.Exchange
	members  *joined
	dial     []grpc.DialOption // credentials towards other routers
	grpc     *grpc.Server
	servers  []*http.Server // callers, announce, admin
	sockets  []net.Listener // callers, announce, admin, peers
}

// NewService opens the listeners of a router.
func NewService(cfg *Config) (*Service, error) {
	self := pool.RouterID{Name: cfg.Name, DataCentre: cfg.DataCentre, Incarnation: uint64(time.Now().UnixNano())}
	s := &Service{cfg: cfg, store: catalog.NewStore()}
	parts := Parts{Catalog: s.store, Pool: pool.DefaultConfig()}
	var members *ownership.Shared
	if len(cfg.Peers) > 0 {
		parts.Ownership = staticOwnership(cfg, self)
	} else {
		members = ownership.NewShared(self, len(cfg.Seeds) > 0)
		members.Expect(cfg.Routers)
		parts.Pool.RecoveryWait = ownership.SettleTime
		parts.Ownership = members
	}
	dial, err := cfg.TLS.Peers.peerDial()
	if err != nil {
		return nil, err
	}
	s.dial = dial
	if err := s.connectControl(self, &parts); err != nil {
		return nil, err
	}
	s.router = New(cfg, self, parts)
	s.exchange = peer.New(self, s.router, dial...)
	s.exchange.SetPeers(staticPeers(cfg))
	s.router.SetPeers(s.exchange)
	if err := s.open(); err != nil {
		return nil, err
	}
	if members != nil {
		if err := s.join(self, members); err != nil {
			s.close()
			return nil, err
		}
	}
	return s, nil
}

func staticOwnership(cfg *Config, self pool.RouterID) *StaticOwnership {
	var others []pool.RouterID
	for _, p := range cfg.Peers {
		others = append(others, pool.RouterID{Name: p.Name, DataCentre: p.DataCentre})
	}
	return NewStaticOwnership(self, others...)
}

func staticPeers(cfg *Config) []peer.Peer {
	var out []peer.Peer
	for _, p := range cfg.Peers {
		id := pool.RouterID{Name: p.Name, DataCentre: p.DataCentre}
		out = append(out, peer.Peer{ID: id, Address: string(p.Address)})
	}
	return out
}

func (s *Service) connectControl(self pool.RouterID, parts *Parts) error {
	if len(s.cfg.Control) == 0 {
		return nil
	}
	client, err := controlclient.New(s.controlConfig(self))
	if err != nil {
		return err
	}
	s.control = client
	parts.Records, parts.Fences = client, client
	return nil
}

// controlConfig returns how this router calls control hosts and relays. Relays
// are routers, so they use TLS whenever peers do.
func (s *Service) controlConfig(self pool.RouterID) controlclient.Config {
	config := controlclient.Config{
		Router:           self.Name,
		DataCentre:       self.DataCentre,
		Incarnation:      self.Incarnation,
		Upstreams:        s.upstreams,
		RelayDialOptions: s.dial,
	}
	for _, a := range s.cfg.Control {
		config.Addresses = append(config.Addresses, string(a))
	}
	if s.cfg.TLS.Control {
		config.DialOptions = s.dial
	}
	return config
}

// open opens all listeners, or none.
func (s *Service) open() (err error) {
	var opened []io.Closer
	defer func() {
		if err != nil {
			closeAll(opened)
		}
	}()
	log := logging.For("http")
	for _, l := range []struct {
		handler http.Handler
		files   TLSFiles
		address string
	}{
		{s.router.Handler(), s.cfg.TLS.Callers, string(s.cfg.Listen.Callers)},
		{limitBody(s.cfg, s.router.AnnounceHandler()), s.cfg.TLS.Announce, string(s.cfg.Listen.Announce)},
		{limitBody(s.cfg, s.router.AdminHandler()), s.cfg.TLS.Admin, string(s.cfg.Listen.Admin)},
	} {
		server, err := s.cfg.newServer(l.handler, l.files, log)
		if err != nil {
			return err
		}
		socket, err := net.Listen("tcp", l.address)
		if err != nil {
			return refuse("address %s cannot be opened: %v", l.address, err)
		}
		opened = append(opened, socket)
		s.servers = append(s.servers, server)
		s.sockets = append(s.sockets, socket)
	}
	socket, err := listen(s.cfg.Listen.Peers)
	if err != nil {
		return err
	}
	opened = append(opened, socket)
	s.sockets = append(s.sockets, socket)
	return s.newGRPC()
}

func (s *Service) newGRPC() error {
	options := controlclient.ServerOptions()
	tlsConfig, err := s.cfg.TLS.Peers.config()
	if err != nil {
		return err
	}
	if tlsConfig != nil {
		options = append(options, grpc.Creds(credentials.NewTLS(tlsConfig)))
	}
	s.grpc = grpc.NewServer(options...)
	apiv1.RegisterPeerServer(s.grpc, s.exchange)
	apiv1.RegisterControlServer(s.grpc, s.newRelay())
	return nil
}

// Addresses returns the addresses of the listeners for callers,
// announcements, operators and peers.
func (s *Service) Addresses() (callers, announce, admin, peers string) {
	a := make([]string, 0, len(s.sockets))
	for _, l := range s.sockets {
		a = append(a, l.Addr().String())
	}
	return a[0], a[1], a[2], a[3]
}

// Run serves until ctx ends, then shuts down gracefully. The end of hard stops
// it at once; Run then returns an error.
func (s *Service) Run(ctx, hard context.Context) error {
	log := logging.For("router")
	callers, announce, admin, peers := s.Addresses()
	log.Infof("%s in %s serves callers on %s, announcements on %s, operators on %s, peers on %s",
		s.cfg.Name, s.cfg.DataCentre, callers, announce, admin, peers)
	work, stop := context.WithCancel(context.Background())
	defer stop()
	group, failed := errgroup.WithContext(work)
	for i, server := range s.servers {
		group.Go(func() error { return serve(server, s.sockets[i]) })
	}
	group.Go(func() error {
		// A shutdown that comes before Serve began is graceful as well.
		if err := s.grpc.Serve(s.sockets[len(s.servers)]); !errors.Is(err, grpc.ErrServerStopped) {
			return err
		}
		return nil
	})
	group.Go(func() error { s.router.Run(failed); return nil })
	if s.members != nil {
		group.Go(func() error { s.followMembers(failed); return nil })
	}
	group.Go(func() error { s.adoptLoop(failed); return nil })
	s.followControl(failed, group)
	select {
	case <-ctx.Done():
	case <-hard.Done():
	case <-failed.Done():
	}
	err := s.shutdown(hard)
	stop()
	return errors.Join(err, group.Wait())
}

// followControl keeps the configuration and the session of keyed requests.
func (s *Service) followControl(ctx context.Context, group *errgroup.Group) {
	if s.control == nil {
		return
	}
	group.Go(func() error {
		_ = s.control.Watch(ctx, s.store) // ends with ctx
		return nil
	})
	group.Go(func() error {
		tick := time.NewTicker(sessionInterval)
		defer tick.Stop()
		for {
			_, _ = s.control.RenewSession(ctx) // the next tick tries again
			select {
			case <-ctx.Done():
				return nil
			case <-tick.C:
			}
		}
	})
}

// shutdown lets readiness fall, keeps the listeners for the notice, waits for
// running answers and closes everything.
func (s *Service) shutdown(hard context.Context) error {
	log := logging.For("router")
	defer s.close()
	s.router.Leave()
	s.drainMembership()
	log.Infof("shutting down: not ready, listeners stay for %s", s.cfg.Drain.Notice.Std())
	if err := sleep(hard, s.cfg.Drain.Notice.Std()); err != nil {
		return err
	}
	limited, cancel := context.WithTimeout(hard, s.cfg.Drain.Longest.Std())
	defer cancel()
	err := s.servers[0].Shutdown(limited)
	if err == nil {
		err = s.router.Idle(limited)
	}
	if hard.Err() != nil {
		return errStopped
	}
	s.awaitHandover(hard)
	s.leaveMembership(hard)
	if err != nil {
		log.Warnf("requests still ran after %s", s.cfg.Drain.Longest.Std())
		return err
	}
	log.Info("every running answer has ended")
	return nil
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return errStopped
	}
}

func (s *Service) close() {
	s.router.Close()
	if s.members != nil {
		s.members.node.Close()
	}
	for _, server := range s.servers {
		_ = server.Close() // nothing is lost: the callers' answers have ended
	}
	s.exchange.Close()
	s.grpc.Stop()
	if s.control != nil {
		s.control.Close()
	}
}
