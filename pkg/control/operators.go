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
	if err := s.checkAcceptsCommands(); err != nil {
		return nil, s.grpcError(ctx, err)
	}
	summary := describeChanges(in.GetChanges())
	if !s.authenticateOperator(ctx, in.GetOperatorName(), in.GetOperatorKey()) {
		return s.rejectOperator(in.GetOperatorName(), in.GetCommandId(), summary), nil
	}
	out, err := proposeRequest[*apiv1.SubmitResponse](ctx, s, "submit", kindSubmit, hashOperatorKey(applyDefaults(in)))
	if err != nil {
		s.config.AuditLogger.Warnf("operator %q, command %q: %s: outcome not known: %v", in.GetOperatorName(), in.GetCommandId(), summary, err)
		return nil, err
	}
	s.logAudit(in.GetOperatorName(), in.GetCommandId(), summary, out)
	return out, nil
}

// checkAcceptsCommands returns nil if this host can execute operator commands,
// else an error after which clients retry later or at another host.
func (s *Server) checkAcceptsCommands() error {
	if err := s.checkLeader(); err != nil {
		return err
	}
	if s.config.FirstOperator.Name != "" && s.state.store.Revision() == 0 {
		return result.New(result.NoQuorum, "the first operator is being created")
	}
	return nil
}

// authenticateOperator checks an operator's credential against the applied
// catalog, so that commands of unauthenticated callers are not written to the
// log. The state machine checks the credential again.
func (s *Server) authenticateOperator(ctx context.Context, name, key string) bool {
	authenticate := func() bool {
		operator, ok := s.state.store.Load().Operator(name)
		return ok && operator.Authenticate(key)
	}
	if authenticate() {
		return true
	}
	// The operator may be in a command that this host has not applied yet.
	ctx, cancel := context.WithTimeout(ctx, barrierTimeout)
	defer cancel()
	return s.log.ReadBarrier(ctx) == nil && authenticate()
}

func (s *Server) rejectOperator(name, id, summary string) *apiv1.SubmitResponse {
	out := errorResponse(result.New(result.NotAuthorized, "operator %q is not known or its key is wrong", name))
	out.Revision = s.state.store.Revision()
	s.logAudit(name, id, summary, out)
	return out
}

// logAudit writes one audit line for a decided command. Names come from the
// network and are therefore quoted.
func (s *Server) logAudit(operator, id, summary string, out *apiv1.SubmitResponse) {
	outcome := result.Code(out.GetCode()).String()
	if out.GetRepeatedCommand() {
		outcome += ", repeated"
	}
	s.config.AuditLogger.Infof("operator %q, command %q: %s: %s, revision %d", operator, id, summary, outcome, out.GetRevision())
}

// describeChanges lists the items of a command for the audit log. Values are
// left out, except the state of a data centre.
func describeChanges(changes []*apiv1.Change) string {
	const maxShown = 8
	var parts []string
	for i, ch := range changes {
		if i == maxShown {
			parts = append(parts, fmt.Sprintf("and %d more", len(changes)-maxShown))
			break
		}
		operation := "set"
		if ch.GetDelete() {
			operation = "delete"
		}
		kind, name := catalog.ItemKey(ch)
		part := fmt.Sprintf("%s %s %q", operation, kind, name)
		if d := ch.GetDataCentre(); d != nil && !ch.GetDelete() {
			part += map[bool]string{true: " out", false: " in"}[d.GetOut()]
		}
		parts = append(parts, part)
	}
	return strings.Join(parts, ", ")
}

// applyDefaults fills in defaults before a command is replicated, so that hosts
// of different versions apply equal values.
func applyDefaults(in *apiv1.SubmitRequest) *apiv1.SubmitRequest {
	out := proto.CloneOf(in)
	for _, ch := range out.GetChanges() {
		c, ok := ch.GetItem().(*apiv1.Change_Class)
		if ok && !ch.GetDelete() && catalog.Validate(ch) == nil {
			c.Class = catalog.ClassToMessage(catalog.ClassFromMessage(c.Class))
		}
	}
	return out
}

// ChangeMember implements apiv1.ControlServer. A change that is already in
// effect succeeds, so a command may be resent.
func (s *Server) ChangeMember(ctx context.Context, in *apiv1.ChangeMemberRequest) (*apiv1.SubmitResponse, error) {
	defer metrics.GetOrRegisterTimer("control.member", s.config.Registry).UpdateSince(time.Now())
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := s.checkAcceptsCommands(); err != nil {
		return nil, s.grpcError(ctx, err)
	}
	change := MemberChange{Action: MemberAction(in.GetAction()), ID: in.GetMember().GetId(), Address: in.GetMember().GetAddress()}
	summary := fmt.Sprintf("%s %d at %q", in.GetAction(), change.ID, change.Address)
	if !s.authenticateOperator(ctx, in.GetOperatorName(), in.GetOperatorKey()) {
		return s.rejectOperator(in.GetOperatorName(), in.GetCommandId(), summary), nil
	}
	out := &apiv1.SubmitResponse{Message: missingMemberMessage(s.log.Status(), change)}
	if out.Message == "" {
		err := s.log.ChangeMember(ctx, change)
		if code, ok := result.CodeOf(err); err != nil && (!ok || code == result.NotLeader || code == result.NoQuorum) {
			return nil, s.grpcError(ctx, err)
		}
		if err != nil {
			out = errorResponse(err)
		}
	}
	out.Revision = s.state.store.Revision()
	s.logAudit(in.GetOperatorName(), in.GetCommandId(), summary, out)
	return out, nil
}

// missingMemberMessage returns a message if a host to be removed is not a
// member, else "". Other changes are checked by the log, which can detect a
// host whose disk was wiped.
func missingMemberMessage(status LogStatus, change MemberChange) string {
	if _, ok := status.member(change.ID); ok || change.Action != RemoveMember {
		return ""
	}
	return fmt.Sprintf("control host %d is not a member", change.ID)
}

// grpcError converts an error to a gRPC status. It sets the result code and,
// for NotLeader, the leader's address as trailers.
func (s *Server) grpcError(ctx context.Context, err error) error {
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
