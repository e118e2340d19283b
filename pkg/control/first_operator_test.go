package control

import (
	"context"
	"testing"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/pkg/catalog"
	"jackdawtrack.example/jackdawtrack/pkg/result"
	"jackdawtrack.example/jackdawtrack/pkg/workspace"
)

// emptyLeaderLog is the log of a leader that has applied no command.
type emptyLeaderLog struct{}

func (emptyLeaderLog) Propose(context.Context, []byte) (any, error)     { return nil, nil }
func (emptyLeaderLog) ReadBarrier(context.Context) error                { return nil }
func (emptyLeaderLog) ChangeMember(context.Context, MemberChange) error { return nil }
func (emptyLeaderLog) Status() LogStatus                                { return LogStatus{ID: 1, Leader: 1} }

// Guards against a permanent rejection of operator commands that arrive after a
// new group started and before its first operator exists. Clients must see an
// error that they retry.
func TestCommandBeforeFirstOperatorIsRetryable(t *testing.T) {
	first := catalog.Operator{Name: "me", KeyHash: workspace.HashKey("key")}
	s := NewServer(Config{FirstOperator: first, Registry: metrics.NewRegistry()}, emptyLeaderLog{}, NewReplicatedState())
	_, err := s.Submit(t.Context(), &apiv1.SubmitRequest{CommandId: "1", OperatorName: "me", OperatorKey: "key"})
	assert.ErrorContains(t, err, "the first operator is being created")
	assert.Equal(t, s.checkAcceptsCommands().(*result.Error).Code, result.NoQuorum)
	_, err = s.ChangeMember(t.Context(), &apiv1.ChangeMemberRequest{OperatorName: "me", OperatorKey: "key"})
	assert.ErrorContains(t, err, "the first operator is being created")
}
