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

// emptyLog leads and has applied nothing.
type emptyLog struct{}

func (emptyLog) Propose(context.Context, []byte) (any, error)     { return nil, nil }
func (emptyLog) ReadBarrier(context.Context) error                { return nil }
func (emptyLog) ChangeMember(context.Context, MemberChange) error { return nil }
func (emptyLog) Status() LogStatus                                { return LogStatus{ID: 1, Leader: 1} }

// Guards against a command that is refused for good in the moment between the
// start of a new group and the creation of its first operator.
func TestCommandBeforeTheFirstOperatorIsRetried(t *testing.T) {
	first := catalog.Operator{Name: "me", KeyHash: workspace.HashKey("key")}
	s := NewServer(Config{FirstOperator: first, Registry: metrics.NewRegistry()}, emptyLog{}, NewState())
	_, err := s.Submit(t.Context(), &apiv1.SubmitRequest{CommandId: "1", OperatorName: "me", OperatorKey: "key"})
	assert.ErrorContains(t, err, "the first operator is being created")
	assert.Equal(t, s.deciding().(*result.Error).Code, result.NoQuorum)
	_, err = s.ChangeMember(t.Context(), &apiv1.ChangeMemberRequest{OperatorName: "me", OperatorKey: "key"})
	assert.ErrorContains(t, err, "the first operator is being created")
}
