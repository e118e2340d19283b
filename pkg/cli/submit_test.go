package cli

import (
	"context"
	"net"
	"sync"
	"testing"

	"google.golang.org/grpc"
	"gotest.tools/v3/assert"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/pkg/result"
)

// busyControl is a control host at which other commands come first.
type busyControl struct {
	apiv1.UnimplementedControlServer

	mu       sync.Mutex
	revision uint64
	others   int // commands of others that come between a read and a command
	commands []*apiv1.SubmitRequest
}

func (b *busyControl) Read(context.Context, *apiv1.ReadRequest) (*apiv1.Snapshot, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return &apiv1.Snapshot{Revision: b.revision}, nil
}

func (b *busyControl) Submit(_ context.Context, in *apiv1.SubmitRequest) (*apiv1.SubmitResponse, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.commands = append(b.commands, in)
	if b.others > 0 {
		b.others--
		b.revision++
	}
	if expected := in.GetExpectedRevision(); expected != 0 && expected != b.revision {
		return &apiv1.SubmitResponse{Code: uint32(result.RevisionConflict), Revision: b.revision, Message: "another command came first"}, nil
	}
	b.revision++
	return &apiv1.SubmitResponse{Revision: b.revision}, nil
}

// Guards against a command of an operator that undoes a later one, because it was held up on
// its way and accepts any revision.
func TestCommandsNameTheRevisionThatTheyFollow(t *testing.T) {
	f := startFleet(t)
	for name, c := range map[string]struct {
		others int
		args   []string
		code   int
		sent   []uint64 // expected revisions
	}{
		"mark":                 {0, []string{"datacentre", "out", "north"}, ExitOK, []uint64{7}},
		"departure":            {0, []string{"server", "depart", "s1"}, ExitOK, []uint64{7}},
		"class":                {0, []string{"class", "set", "chat", "--first-token", "340ms"}, ExitOK, []uint64{7}},
		"after others":         {2, []string{"datacentre", "in", "north"}, ExitOK, []uint64{7, 8, 9}},
		"always after others":  {99, []string{"datacentre", "in", "north"}, ExitRefused, []uint64{7, 8, 9, 10, 11}},
		"of a stated revision": {1, []string{"--revision", "7", "datacentre", "in", "north"}, ExitRefused, []uint64{7}},
		"resent":               {0, []string{"--command-id", "c1", "datacentre", "in", "north"}, ExitOK, []uint64{0}},
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			control, server := &busyControl{revision: 7, others: c.others}, grpc.NewServer()
			apiv1.RegisterControlServer(server, control)
			go func() { _ = server.Serve(l) }()
			defer server.Stop()
			at := &fleet{t: t, control: l.Addr().String(), keyFile: f.keyFile}
			code, out, errs := at.run("", c.args...)
			assert.Equal(t, code, c.code, "%s%s", out, errs)
			ids := map[string]bool{}
			var sent []uint64
			for _, in := range control.commands {
				ids[in.GetCommandId()] = true
				sent = append(sent, in.GetExpectedRevision())
			}
			assert.DeepEqual(t, sent, c.sent)
			assert.Equal(t, len(ids), len(sent), "a command id was used twice")
		})
	}
}
