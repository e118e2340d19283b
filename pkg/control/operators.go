package control

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/pkg/catalog"
	"jackdawtrack.example/jackdawtrack/pkg/controlclient"
	"jackdawtrack.example/jackdawtrack/pkg/result"
)

// Submit implements apiv1.ControlServer.
func (s *Server) Submit(ctx context.Context, in *apiv1.SubmitRequest) (*apiv1.SubmitResponse, error) {
	if err := s.leading(); err != nil {
		return nil, s.fail(ctx, err)
	}
	what := describe(in.GetChanges())
	if !s.authenticated(ctx, in.GetOperatorName(), in.GetOperatorKey()) {
		return s.refuseOperator(in.GetOperatorName(), in.GetCommandId(), what), nil
	}
	out, err := write[*apiv1.SubmitResponse](ctx, s, "submit", kindSubmit, sealKey(normalize(in)))
	if err != nil {
		s.config.Audit.Warnf("operator %q, command %q: %s: outcome not known: %v", in.GetOperatorName(), in.GetCommandId(), what, err)
		return nil, err
	}
	s.audit(in.GetOperatorName(), in.GetCommandId(), what, out)
	return out, nil
}

// authenticated checks an operator's credential against the applied catalog,
// so that commands of others do not reach the log. The machine checks it
// again.
func (s *Server) authenticated(ctx context.Context, name, key string) bool {
	known := func() bool {
		operator, ok := s.state.store.Load().Operator(name)
		return ok && operator.Authenticate(key)
	}
	if known() {
		return true
	}
	// The operator may have been created a moment ago.
	ctx, cancel := context.WithTimeout(ctx, firstBarrierLimit)
	defer cancel()
	return s.log.ReadBarrier(ctx) == nil && known()
}

func (s *Server) refuseOperator(name, id, what string) *apiv1.SubmitResponse {
	out := refusal(result.New(result.NotAuthorized, "operator %q is not known or its key is wrong", name))
	out.Revision = s.state.store.Revision()
	s.audit(name, id, what, out)
	return out
}

// audit writes one line for each command that was decided. Names come from
// the network and are quoted.
func (s *Server) audit(operator, id, what string, out *apiv1.SubmitResponse) {
	outcome := result.Code(out.GetCode()).String()
	if out.GetRepeatedCommand() {
		outcome += ", repeated"
	}
	s.config.Audit.Infof("operator %q, command %q: %s: %s, revision %d", operator, id, what, outcome, out.GetRevision())
}

// describe names the items of a command. Of the values only the state of a
// data centre is told.
func describe(changes []*apiv1.Change) string {
	const shown = 8
	var parts []string
	for i, ch := range changes {
		if i == shown {
			parts = append(parts, fmt.Sprintf("and %d more", len(changes)-shown))
			break
		}
		verb := "set"
		if ch.GetDelete() {
			verb = "delete"
		}
		kind, name := catalog.Key(ch)
		part := fmt.Sprintf("%s %s %q", verb, kind, name)
		if d := ch.GetDataCentre(); d != nil && !ch.GetDelete() {
			part += map[bool]string{true: " out", false: " in"}[d.GetOut()]
		}
		parts = append(parts, part)
	}
	return strings.Join(parts, ", ")
}

// normalize fills defaults before a command reaches the log, so that hosts of
// different versions apply equal values.
func normalize(in *apiv1.SubmitRequest) *apiv1.SubmitRequest {
	out := proto.CloneOf(in)
	for _, ch := range out.GetChanges() {
		c, ok := ch.GetItem().(*apiv1.Change_Class)
		if ok && !ch.GetDelete() && catalog.Validate(ch) == nil {
			c.Class = catalog.ClassTo(catalog.ClassFrom(c.Class))
		}
	}
	return out
}

// ChangeMember implements apiv1.ControlServer. A change that is already in
// force succeeds, so a command may be resent.
func (s *Server) ChangeMember(ctx context.Context, in *apiv1.ChangeMemberRequest) (*apiv1.SubmitResponse, error) {
	defer metrics.GetOrRegisterTimer("control.member", s.config.Registry).UpdateSince(time.Now())
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	if err := s.leading(); err != nil {
		return nil, s.fail(ctx, err)
	}
	change := MemberChange{Action: MemberAction(in.GetAction()), ID: in.GetMember().GetId(), Address: in.GetMember().GetAddress()}
	what := fmt.Sprintf("%s %d at %q", in.GetAction(), change.ID, change.Address)
	if !s.authenticated(ctx, in.GetOperatorName(), in.GetOperatorKey()) {
		return s.refuseOperator(in.GetOperatorName(), in.GetCommandId(), what), nil
	}
	out := &apiv1.SubmitResponse{Message: notMember(s.log.Status(), change)}
	if out.Message == "" {
		err := s.log.ChangeMember(ctx, change)
		if code, ok := result.CodeOf(err); err != nil && (!ok || code == result.NotLeader || code == result.NoQuorum) {
			return nil, s.fail(ctx, err)
		}
		if err != nil {
			out = refusal(err)
		}
	}
	out.Revision = s.state.store.Revision()
	s.audit(in.GetOperatorName(), in.GetCommandId(), what, out)
	return out, nil
}

// notMember says that a host to be removed is not a member, "" if it is. The
// other changes are left to the log: it knows a host whose disk was wiped.
func notMember(status LogStatus, change MemberChange) string {
	if _, ok := status.member(change.ID); ok || change.Action != Remove {
		return ""
	}
	return fmt.Sprintf("control host %d is not a member", change.ID)
}

// fail turns an error into a gRPC status and adds the result code and the
// leader's address as trailers.
func (s *Server) fail(ctx context.Context, err error) error {
	var e *result.Error
	if !errors.As(err, &e) {
		return status.FromContextError(err).Err()
	}
	trailer := metadata.Pairs(controlclient.TrailerCode, strconv.FormatUint(uint64(e.Code), 10))
	if leader := s.log.Status().LeaderAddress; e.Code == result.NotLeader && leader != "" {
		trailer.Append(controlclient.TrailerLeader, leader)
	}
	_ = grpc.SetTrailer(ctx, trailer)
	return status.Error(grpcCode(e.Code), e.Message)
}

func grpcCode(code result.Code) codes.Code {
	switch code {
	case result.NotLeader:
		return codes.FailedPrecondition
	case result.NoQuorum, result.ShuttingDown, result.SyncFailed:
		return codes.Unavailable
	case result.DiskFull, result.TooLarge:
		return codes.ResourceExhausted
	}
	return codes.InvalidArgument
}
