package controlclient

import (
	"context"
	"strconv"
	"testing"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
	"gotest.tools/v3/assert"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/pkg/result"
)

// hosts answer the calls of a client with the codes in turn, the last one again and
// again. OK stands for success.
type hosts struct {
	codes []result.Code
	calls int
	// afterCall is called after each answer, nil for nothing.
	afterCall func()
}

func (h *hosts) submit(_ apiv1.ControlClient, _ context.Context, _ *apiv1.SubmitRequest, options ...grpc.CallOption) (*apiv1.SubmitResponse, error) {
	code := h.codes[min(h.calls, len(h.codes)-1)]
	h.calls++
	if h.afterCall != nil {
		h.afterCall()
	}
	if code == result.OK {
		return &apiv1.SubmitResponse{}, nil
	}
	*options[0].(grpc.TrailerCallOption).TrailerAddr = metadata.Pairs(TrailerCode, strconv.Itoa(int(code)))
	return nil, status.Error(codes.ResourceExhausted, "refused")
}

func newClient(t *testing.T) *Client {
	c, err := New(Config{Addresses: []string{"127.0.0.1:1", "127.0.0.1:2"}})
	assert.NilError(t, err)
	t.Cleanup(c.Close)
	return c
}

// Guards against a change that fails because the disk of one host is full: that host
// gives up the lead and another one accepts changes.
func TestFullDiskOfOneHostIsNotFinal(t *testing.T) {
	h := &hosts{codes: []result.Code{result.DiskFull, result.NotLeader, result.OK}}
	_, late, err := callReportingLate(t.Context(), newClient(t), &apiv1.SubmitRequest{}, h.submit)
	assert.NilError(t, err)
	assert.Assert(t, !late, "a change that was refused may take effect later")
	assert.Equal(t, h.calls, 3)
}

// Guards against a reason that is lost if the disks stay full, against a change that is
// reported as refused although an earlier attempt may take effect, and against calls that
// are repeated although every host refuses them.
func TestRefusalKeepsItsCode(t *testing.T) {
	for _, c := range []struct {
		codes []result.Code
		want  result.Code
		calls int
	}{
		{[]result.Code{result.DiskFull}, result.DiskFull, 2},
		{[]result.Code{result.NotLeader, result.DiskFull}, result.DiskFull, 2},
		{[]result.Code{result.NoQuorum, result.DiskFull}, result.NoQuorum, 2},
		{[]result.Code{result.TooLarge}, result.TooLarge, 1},
	} {
		ctx, cancel := context.WithCancel(t.Context())
		h := &hosts{codes: c.codes}
		h.afterCall = func() {
			if h.calls == 2 {
				cancel()
			}
		}
		_, err := callWithFailover(ctx, newClient(t), &apiv1.SubmitRequest{}, h.submit)
		cancel()
		got, _ := result.CodeOf(err)
		assert.Equal(t, got, c.want, "%v", c.codes)
		assert.Equal(t, h.calls, c.calls, "%v", c.codes)
	}
}
