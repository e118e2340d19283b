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
	"jackdawtrack.example/jackdawtrack/pkg/callers"
	"jackdawtrack.example/jackdawtrack/pkg/catalog"
	"jackdawtrack.example/jackdawtrack/pkg/controlclient"
	"jackdawtrack.example/jackdawtrack/pkg/logging"
	"jackdawtrack.example/jackdawtrack/pkg/ownership"
	"jackdawtrack.example/jackdawtrack/pkg/peer"
	"jackdawtrack.example/jackdawtrack/pkg/pool"
)

// sessionInterval is how often a router renews its session in control. If the
// session ends, control marks the router's running keyed requests as unknown.
const sessionInterval = 2 * time.Second

// errHardStop is returned by Run after a hard stop.
var errHardStop = errors.New("stopped by a second signal")

// Service runs a router with its listeners and its connections to other routers
// and to control hosts.
type Service struct {
	cfg             *Config
	router          *Router
	store           *catalog.Store
	control         *controlclient.Client // nil without control hosts
	exchange        *peer.Exchange
	members         *membershipState
	peerDialOptions []grpc.DialOption // credentials for connections to other routers
	grpc            *grpc.Server
	httpServers     []*http.Server  // callers, announce, admin
	requests        context.Context // of all requests of callers
	endRequests     context.CancelCauseFunc
	listeners       []net.Listener         // callers, announce, admin, peers
	conns           []*callers.ConnTracker // of the httpServers
}

// NewService creates a router and opens its listeners. The caller must call
// Run.
func NewService(cfg *Config) (*Service, error) {
	self := pool.RouterID{Name: cfg.Name, DataCentre: cfg.DataCentre, Incarnation: uint64(time.Now().UnixNano())}
	s := &Service{cfg: cfg, store: catalog.NewStore()}
	s.requests, s.endRequests = context.WithCancelCause(context.Background())
	deps := Dependencies{Catalog: s.store, Pool: pool.DefaultConfig()}
	var members *ownership.ConcurrentTracker
	if len(cfg.Peers) > 0 {
		deps.Ownership = staticOwnership(cfg, self)
	} else {
		members = ownership.NewConcurrentTracker(self, len(cfg.Seeds) > 0)
		members.SetExpectedRouters(cfg.Routers)
		deps.Pool.RecoveryWait = ownership.TakeoverDelay
		deps.Ownership = members
	}
	peerDialOptions, err := cfg.TLS.Peers.dialOptions()
	if err != nil {
		return nil, err
	}
	s.peerDialOptions = peerDialOptions
	if err := s.connectControl(self, &deps); err != nil {
		return nil, err
	}
	s.router = New(cfg, self, deps)
	s.exchange = peer.New(self, s.router, peerDialOptions...)
	s.exchange.SetPeers(staticPeers(cfg))
	s.router.SetPeers(s.exchange)
	if err := s.openListeners(); err != nil {
		return nil, err
	}
	if members != nil {
		if err := s.joinMembership(self, members); err != nil {
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

func (s *Service) connectControl(self pool.RouterID, deps *Dependencies) error {
	if len(s.cfg.Control) == 0 {
		return nil
	}
	client, err := controlclient.New(s.controlConfig(self))
	if err != nil {
		return err
	}
	s.control = client
	deps.Records, deps.Fences = client, client
	deps.Confirm = func(ctx context.Context) error { return client.Confirm(ctx, s.store) }
	return nil
}

// controlConfig returns the configuration of the client for control hosts and
// relays. Relays are routers, so connections to them use TLS if connections
// between peers do.
func (s *Service) controlConfig(self pool.RouterID) controlclient.Config {
	config := controlclient.Config{
		Router:           self.Name,
		DataCentre:       self.DataCentre,
		Incarnation:      self.Incarnation,
		Upstreams:        s.upstreams,
		RelayDialOptions: s.peerDialOptions,
	}
	for _, a := range s.cfg.Control {
		config.Addresses = append(config.Addresses, string(a))
	}
	if s.cfg.TLS.Control {
		config.DialOptions = s.peerDialOptions
	}
	return config
}

// openListeners opens all listeners. If one fails, it closes the others.
func (s *Service) openListeners() (err error) {
	var opened []io.Closer
	defer func() {
		if err != nil {
			closeAll(opened)
		}
	}()
	log := logging.ForComponent("http")
	for _, l := range []struct {
		handler http.Handler
		files   TLSFiles
		address string
	}{
		{s.router.Handler(), s.cfg.TLS.Callers, string(s.cfg.Listen.Callers)},
		{limitSmallRequests(s.cfg, s.router.AnnounceHandler()), s.cfg.TLS.Announce, string(s.cfg.Listen.Announce)},
		{limitSmallRequests(s.cfg, s.router.AdminHandler()), s.cfg.TLS.Admin, string(s.cfg.Listen.Admin)},
	} {
		server, err := s.cfg.newServer(l.handler, l.files, log)
		if err != nil {
			return err
		}
		listener, err := callers.Listen(context.Background(), l.address)
		if err != nil {
			return settingsError("cannot listen on %s: %v", l.address, err)
		}
		opened = append(opened, listener)
		s.httpServers = append(s.httpServers, server)
		s.listeners = append(s.listeners, listener)
	}
	s.trackConns()
	listener, err := listen(s.cfg.Listen.Peers)
	if err != nil {
		return err
	}
	opened = append(opened, listener)
	s.listeners = append(s.listeners, listener)
	return s.newGRPCServer()
}

// trackConns makes a stop see the requests in progress on all HTTP listeners.
func (s *Service) trackConns() {
	s.httpServers[0].BaseContext = func(net.Listener) context.Context { return s.requests }
	for i, server := range s.httpServers {
		conns := callers.NewConnTracker(0, 0, s.router.metrics)
		if i == 0 {
			conns.LimitWrites(s.cfg.Limits.WriteTimeout.AsDuration())
		}
		server.Handler = conns.Handler(server.Handler)
		server.ConnState, server.ConnContext = conns.OnStateChange, conns.ContextWithConn
		s.listeners[i] = conns.Listener(s.listeners[i])
		s.conns = append(s.conns, conns)
	}
}

func (s *Service) newGRPCServer() error {
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

// Addresses returns the listen addresses for callers, announcements, operators
// and peers.
func (s *Service) Addresses() (callers, announce, admin, peers string) {
	a := make([]string, 0, len(s.listeners))
	for _, l := range s.listeners {
		a = append(a, l.Addr().String())
	}
	return a[0], a[1], a[2], a[3]
}

// Run serves until ctx ends, then shuts down gracefully. If hardStop ends, Run
// stops at once and returns an error.
func (s *Service) Run(ctx, hardStop context.Context) error {
	log := logging.ForComponent("router")
	callers, announce, admin, peers := s.Addresses()
	log.Infof("router %s in data centre %s listens for callers on %s, announcements on %s, operators on %s, peers on %s",
		s.cfg.Name, s.cfg.DataCentre, callers, announce, admin, peers)
	workCtx, stop := context.WithCancel(context.Background())
	defer stop()
	group, groupCtx := errgroup.WithContext(workCtx)
	for i, server := range s.httpServers {
		group.Go(func() error { return serveListener(server, s.listeners[i]) })
	}
	group.Go(func() error {
		// Serve returns ErrServerStopped if the shutdown came first.
		if err := s.grpc.Serve(s.listeners[len(s.httpServers)]); !errors.Is(err, grpc.ErrServerStopped) {
			return err
		}
		return nil
	})
	group.Go(func() error { s.router.Run(groupCtx); return nil })
	if s.members != nil {
		group.Go(func() error { s.watchMembers(groupCtx); return nil })
	}
	group.Go(func() error { s.runConfigurationAdoption(groupCtx); return nil })
	s.runControl(groupCtx, group)
	select {
	case <-ctx.Done():
	case <-hardStop.Done():
	case <-groupCtx.Done():
	}
	err := s.shutdown(hardStop)
	stop()
	return errors.Join(err, group.Wait())
}

// runControl watches the configuration and renews the session of the router.
func (s *Service) runControl(ctx context.Context, group *errgroup.Group) {
	if s.control == nil {
		return
	}
	group.Go(func() error {
		_ = s.control.Watch(ctx, s.store) // returns only when ctx ends
		return nil
	})
	group.Go(func() error {
		tick := time.NewTicker(sessionInterval)
		defer tick.Stop()
		for {
			_, _ = s.control.RenewSession(ctx) // retried at the next tick
			select {
			case <-ctx.Done():
				return nil
			case <-tick.C:
			}
		}
	})
}

// shutdown reports not ready, keeps the listeners open for the notice, waits
// for running requests and closes everything.
func (s *Service) shutdown(hardStop context.Context) error {
	log := logging.ForComponent("router")
	growCtx, endGrowth := context.WithCancel(context.Background())
	defer endGrowth()
	if len(s.conns) > 0 {
		go s.conns[0].GrowSendBuffers(growCtx)
	}
	defer s.close()
	s.router.SetNotReady()
	s.drainMembership()
	log.Infof("shutting down: reporting not ready, listeners stay open for %s", s.cfg.Drain.Notice.AsDuration())
	if err := sleepContext(hardStop, s.cfg.Drain.Notice.AsDuration()); err != nil {
		return err
	}
	s.router.RefuseLate(time.Now().Add(s.cfg.Drain.Longest.AsDuration()))
	drainCtx, cancel := context.WithTimeout(hardStop, s.cfg.Drain.Longest.AsDuration())
	defer cancel()
	err := s.closeCallers(drainCtx, callers.DrainIdle)
	if err == nil {
		err = s.router.WaitIdle(drainCtx)
	}
	if hardStop.Err() != nil {
		return errHardStop
	}
	s.awaitHandover(hardStop)
	s.leaveMembership(hardStop)
	if err != nil {
		log.Warnf("shutdown: requests still running after the limit of %s", s.cfg.Drain.Longest.AsDuration())
		return err
	}
	log.Info("shutdown: all running requests have ended")
	return nil
}

// sleepContext waits for d. It returns errHardStop if ctx ends first.
func sleepContext(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return errHardStop
	}
}

func (s *Service) close() {
	s.answerOpen()
	s.answerOperators()
	if s.members != nil {
		s.members.node.Close()
	}
	for _, server := range s.httpServers {
		_ = server.Close() // the requests of callers have ended or are to be cut
	}
	s.exchange.Close()
	s.grpc.Stop()
	if s.control != nil {
		s.control.Close()
	}
}
