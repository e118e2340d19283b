package control

import (
	"context"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/singleflight"
	"google.golang.org/protobuf/proto"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/pkg/catalog"
	"jackdawtrack.example/jackdawtrack/pkg/class"
	"jackdawtrack.example/jackdawtrack/pkg/logging"
	"jackdawtrack.example/jackdawtrack/pkg/result"
)

const (
	// tickInterval is how often the leader moves the clock of the machine
	// while something depends on it.
	tickInterval = time.Second
	// callLimit bounds a call whose client set no deadline.
	callLimit = 10 * time.Second
	// barrierLimit bounds the confirmation of a heartbeat. With the heartbeat
	// interval it stays well below the client's heartbeat timeout.
	barrierLimit = 500 * time.Millisecond
	// firstBarrierLimit bounds the confirmation of the first event.
	firstBarrierLimit = 2 * time.Second
)

// Config of a Server.
type Config struct {
	// FirstOperator is created when the configuration is empty. A zero value
	// creates none.
	FirstOperator catalog.Operator
	Registry      metrics.Registry // metrics.DefaultRegistry if nil
	Logger        *logrus.Entry    // part "control" if nil
	Audit         *logrus.Entry    // part "audit" if nil
}

// Server serves the Control service of one control host. A host that is not
// the leader redirects writes: the call fails with NotLeader and a trailer
// with the leader's address. mu guards renewals and barrierAt, barrierOK.
type Server struct {
	apiv1.UnimplementedControlServer

	config   Config
	log      Log
	state    *State
	stopping chan struct{}
	stop     sync.Once
	barrier  singleflight.Group
	watchers metrics.Counter

	mu        sync.Mutex
	renewals  map[string]uint64 // incarnation by router, for the next tick
	barrierAt time.Time
	barrierOK bool
}

// NewServer returns a server over a log that drives the state.
func NewServer(config Config, log Log, state *State) *Server {
	if config.Registry == nil {
		config.Registry = metrics.DefaultRegistry
	}
	if config.Logger == nil {
		config.Logger = logging.For("control")
	}
	if config.Audit == nil {
		config.Audit = logging.For("audit")
	}
	s := &Server{
		config: config, log: log, state: state,
		stopping: make(chan struct{}),
		watchers: metrics.GetOrRegisterCounter("control.watchers", config.Registry),
		renewals: map[string]uint64{},
	}
	s.registerGauges()
	return s
}

func (s *Server) registerGauges() {
	gauge := func(name string, value func() int64) {
		_ = s.config.Registry.Register(name, metrics.NewFunctionalGauge(value))
	}
	gauge("control.revision", func() int64 { return int64(s.state.store.Revision()) })
	gauge("control.records", func() int64 { return int64(s.state.records()) })
}

// Stop ends all watch streams, so that a graceful stop of the gRPC server
// does not wait for them.
func (s *Server) Stop() { s.stop.Do(func() { close(s.stopping) }) }

// Run creates the first operator and moves the clock while this host leads,
// until ctx ends.
func (s *Server) Run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.tick(ctx)
		}
	}
}

func (s *Server) tick(ctx context.Context) {
	if !s.log.Status().Leading() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	if s.config.FirstOperator.Name != "" && s.state.store.Revision() == 0 {
		s.createFirstOperator(ctx)
	}
	renewed := s.takeRenewals()
	if len(renewed) == 0 && !s.state.needsTime() {
		return
	}
	if _, err := s.propose(ctx, command{kind: kindTick, renewed: renewed}); err != nil {
		s.config.Logger.Warnf("the clock was not moved: %v", err)
	}
}

func (s *Server) createFirstOperator(ctx context.Context) {
	operator := catalog.OperatorTo(s.config.FirstOperator)
	out, err := s.propose(ctx, command{kind: kindBootstrap, message: operator})
	if err != nil {
		s.config.Logger.Warnf("the first operator was not created: %v", err)
		return
	}
	if r, ok := out.(*apiv1.SubmitResponse); ok {
		s.audit(operator.GetName(), "bootstrap", "operator "+operator.GetName(), r)
	}
}

func (s *Server) takeRenewals() []*apiv1.RenewSessionRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*apiv1.RenewSessionRequest
	for router, incarnation := range s.renewals {
		out = append(out, &apiv1.RenewSessionRequest{Router: router, Incarnation: incarnation})
	}
	clear(s.renewals)
	return out
}

// propose stamps a command and replicates it.
func (s *Server) propose(ctx context.Context, c command) (any, error) {
	c.time = s.state.timestamp()
	data, err := encodeCommand(c)
	if err != nil {
		return nil, result.Wrap(result.InvalidCommand, err, "command cannot be encoded")
	}
	out, err := s.log.Propose(ctx, data)
	if err != nil {
		return nil, err
	}
	if refused, ok := out.(error); ok {
		return nil, refused
	}
	return out, nil
}

// write runs one write of a client on the leader.
func write[Res proto.Message](ctx context.Context, s *Server, name string, kind commandKind, in proto.Message) (Res, error) {
	var none Res
	began := time.Now()
	defer metrics.GetOrRegisterTimer("control."+name, s.config.Registry).UpdateSince(began)
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	if err := s.leading(); err != nil {
		return none, s.fail(ctx, err)
	}
	out, err := s.propose(ctx, command{kind: kind, message: in})
	if err != nil {
		return none, s.fail(ctx, err)
	}
	response, ok := out.(Res)
	if !ok {
		return none, s.fail(ctx, result.New(result.InvalidCommand, "unexpected answer %T", out))
	}
	return response, nil
}

// leading returns an error on a host that is not the leader.
func (s *Server) leading() error {
	status := s.log.Status()
	switch {
	case status.Leading():
		return nil
	case status.Leader == 0:
		return result.New(result.NoQuorum, "control host %d knows no leader", status.ID)
	}
	return result.New(result.NotLeader, "control host %d leads, at %s", status.Leader, status.LeaderAddress)
}

// Begin implements apiv1.ControlServer.
func (s *Server) Begin(ctx context.Context, in *apiv1.BeginRequest) (*apiv1.BeginResponse, error) {
	if !validBegin(in) {
		return begun(apiv1.BeginState_BEGIN_UNSPECIFIED, result.InvalidRequest), nil
	}
	return write[*apiv1.BeginResponse](ctx, s, "begin", kindBegin, in)
}

// Finish implements apiv1.ControlServer. A body that is too large to store is
// cut off before it reaches the log.
func (s *Server) Finish(ctx context.Context, in *apiv1.FinishRequest) (*apiv1.FinishResponse, error) {
	if a := in.GetAnswer(); len(a.GetBody()) > MaxAnswerBytes {
		a.Body, a.Truncated = nil, true
	}
	return write[*apiv1.FinishResponse](ctx, s, "finish", kindFinish, in)
}

// Abort implements apiv1.ControlServer.
func (s *Server) Abort(ctx context.Context, in *apiv1.AbortRequest) (*apiv1.AbortResponse, error) {
	return write[*apiv1.AbortResponse](ctx, s, "abort", kindAbort, in)
}

// RenewSession implements apiv1.ControlServer. The leader gathers renewals
// and proposes them with the next tick; one that a change of leaders loses is
// made good by the router's next one.
func (s *Server) RenewSession(ctx context.Context, in *apiv1.RenewSessionRequest) (*apiv1.RenewSessionResponse, error) {
	if !class.ValidName(in.GetRouter()) {
		return &apiv1.RenewSessionResponse{Code: uint32(result.InvalidRequest)}, nil
	}
	if err := s.leading(); err != nil {
		return nil, s.fail(ctx, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.renewals[in.GetRouter()] = max(s.renewals[in.GetRouter()], in.GetIncarnation())
	return &apiv1.RenewSessionResponse{}, nil
}
