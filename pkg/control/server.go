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
	// tickInterval is how often the leader advances the state machine's clock
	// while any state can expire.
	tickInterval = time.Second
	// callTimeout limits a call, also if its client set no deadline.
	callTimeout = 10 * time.Second
	// sharedBarrierTimeout limits the read barrier of a heartbeat and how long
	// its result is reused. Together with the heartbeat interval it stays well
	// below the client's heartbeat timeout.
	sharedBarrierTimeout = 500 * time.Millisecond
	// barrierTimeout limits the read barrier of the first event of a watch and
	// of an operator's authentication.
	barrierTimeout = 2 * time.Second
)

// Config configures a Server.
type Config struct {
	// FirstOperator is created if the configuration is empty. The zero value
	// creates none.
	FirstOperator catalog.Operator
	Registry      metrics.Registry // metrics.DefaultRegistry if nil
	Logger        *logrus.Entry    // part "control" if nil
	AuditLogger   *logrus.Entry    // part "audit" if nil
}

// Server serves the Control service of one control host. On a host that is not
// the leader, writes fail with NotLeader and a trailer with the leader's
// address. mu guards pendingRenewals, lastBarrierAt and lastBarrierOK.
type Server struct {
	apiv1.UnimplementedControlServer

	config       Config
	log          Log
	state        *ReplicatedState
	stopping     chan struct{}
	stopOnce     sync.Once
	barrierCalls singleflight.Group
	watchers     metrics.Counter

	mu              sync.Mutex
	pendingRenewals map[string]uint64 // router to incarnation, for the next tick
	lastBarrierAt   time.Time
	lastBarrierOK   bool
}

// NewServer returns a server for a log and the state to which the log applies
// commands.
func NewServer(config Config, log Log, state *ReplicatedState) *Server {
	if config.Registry == nil {
		config.Registry = metrics.DefaultRegistry
	}
	if config.Logger == nil {
		config.Logger = logging.ForComponent("control")
	}
	if config.AuditLogger == nil {
		config.AuditLogger = logging.ForComponent("audit")
	}
	s := &Server{
		config: config, log: log, state: state,
		stopping:        make(chan struct{}),
		watchers:        metrics.GetOrRegisterCounter("control.watchers", config.Registry),
		pendingRenewals: map[string]uint64{},
	}
	s.registerGauges()
	return s
}

func (s *Server) registerGauges() {
	gauge := func(name string, value func() int64) {
		_ = s.config.Registry.Register(name, metrics.NewFunctionalGauge(value))
	}
	gauge("control.revision", func() int64 { return int64(s.state.store.Revision()) })
	gauge("control.records", func() int64 { return int64(s.state.recordCount()) })
}

// Stop ends all watch streams, so that a graceful stop of the gRPC server does
// not wait for them.
func (s *Server) Stop() { s.stopOnce.Do(func() { close(s.stopping) }) }

// Run creates the first operator and advances the clock while this host is the
// leader, until ctx ends.
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
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if s.config.FirstOperator.Name != "" && s.state.store.Revision() == 0 {
		s.createFirstOperator(ctx)
	}
	renewals := s.takePendingRenewals()
	if len(renewals) == 0 && !s.state.hasExpiringState() {
		return
	}
	if _, err := s.propose(ctx, command{kind: kindTick, renewals: renewals}); err != nil {
		s.config.Logger.Warnf("state machine clock not advanced: %v", err)
	}
}

func (s *Server) createFirstOperator(ctx context.Context) {
	operator := catalog.OperatorToMessage(s.config.FirstOperator)
	out, err := s.propose(ctx, command{kind: kindBootstrap, message: operator})
	if err != nil {
		s.config.Logger.Warnf("first operator not created: %v", err)
		return
	}
	if r, ok := out.(*apiv1.SubmitResponse); ok {
		s.logAudit(operator.GetName(), "bootstrap", "operator "+operator.GetName(), r)
	}
}

func (s *Server) takePendingRenewals() []*apiv1.RenewSessionRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*apiv1.RenewSessionRequest
	for router, incarnation := range s.pendingRenewals {
		out = append(out, &apiv1.RenewSessionRequest{Router: router, Incarnation: incarnation})
	}
	clear(s.pendingRenewals)
	return out
}

// propose sets the timestamp of a command and replicates it.
func (s *Server) propose(ctx context.Context, c command) (any, error) {
	c.timestamp = s.state.commandTimestamp()
	data, err := encodeCommand(c)
	if err != nil {
		return nil, result.Wrap(result.InvalidCommand, err, "command cannot be encoded")
	}
	out, err := s.log.Propose(ctx, data)
	if err != nil {
		return nil, err
	}
	if commandErr, ok := out.(error); ok {
		return nil, commandErr
	}
	return out, nil
}

// proposeRequest replicates the write of a client. It fails on a host that is
// not the leader.
func proposeRequest[Res proto.Message](ctx context.Context, s *Server, name string, kind commandKind, in proto.Message) (Res, error) {
	var zero Res
	start := time.Now()
	defer metrics.GetOrRegisterTimer("control."+name, s.config.Registry).UpdateSince(start)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := s.checkLeader(); err != nil {
		return zero, s.grpcError(ctx, err)
	}
	out, err := s.propose(ctx, command{kind: kind, message: in})
	if err != nil {
		return zero, s.grpcError(ctx, err)
	}
	response, ok := out.(Res)
	if !ok {
		return zero, s.grpcError(ctx, result.New(result.InvalidCommand, "unexpected answer %T", out))
	}
	return response, nil
}

// checkLeader returns an error if this host is not the leader.
func (s *Server) checkLeader() error {
	status := s.log.Status()
	switch {
	case status.Leading():
		return nil
	case status.Leader == 0:
		return result.New(result.NoQuorum, "control host %d knows no leader", status.ID)
	}
	return result.New(result.NotLeader, "the leader is control host %d at %s", status.Leader, status.LeaderAddress)
}

// Begin implements apiv1.ControlServer.
func (s *Server) Begin(ctx context.Context, in *apiv1.BeginRequest) (*apiv1.BeginResponse, error) {
	if !isValidBegin(in) {
		return beginResponse(apiv1.BeginState_BEGIN_UNSPECIFIED, result.InvalidRequest), nil
	}
	return proposeRequest[*apiv1.BeginResponse](ctx, s, "begin", kindBegin, in)
}

// Finish implements apiv1.ControlServer. A body over MaxAnswerBytes is dropped
// before it is replicated.
func (s *Server) Finish(ctx context.Context, in *apiv1.FinishRequest) (*apiv1.FinishResponse, error) {
	if a := in.GetAnswer(); len(a.GetBody()) > MaxAnswerBytes {
		a.Body, a.Truncated = nil, true
	}
	return proposeRequest[*apiv1.FinishResponse](ctx, s, "finish", kindFinish, in)
}

// Abort implements apiv1.ControlServer.
func (s *Server) Abort(ctx context.Context, in *apiv1.AbortRequest) (*apiv1.AbortResponse, error) {
	return proposeRequest[*apiv1.AbortResponse](ctx, s, "abort", kindAbort, in)
}

// RenewSession implements apiv1.ControlServer. The leader collects renewals and
// proposes them with the next tick. A renewal that is lost in a change of
// leader is covered by the router's next one.
func (s *Server) RenewSession(ctx context.Context, in *apiv1.RenewSessionRequest) (*apiv1.RenewSessionResponse, error) {
	if !class.ValidName(in.GetRouter()) {
		return &apiv1.RenewSessionResponse{Code: uint32(result.InvalidRequest)}, nil
	}
	if err := s.checkLeader(); err != nil {
		return nil, s.grpcError(ctx, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pendingRenewals[in.GetRouter()] = max(s.pendingRenewals[in.GetRouter()], in.GetIncarnation())
	return &apiv1.RenewSessionResponse{}, nil
}
