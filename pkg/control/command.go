package control

import (
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"io"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/pkg/result"
	"jackdawtrack.example/jackdawtrack/pkg/workspace"
)

// commandVersion is the first byte of every command. A member rejects a command
// whose version it does not support.
const commandVersion = 1

type commandKind byte

const (
	kindSubmit    commandKind = 1
	kindBegin     commandKind = 2
	kindFinish    commandKind = 3
	kindAbort     commandKind = 4
	kindTick      commandKind = 5
	kindBootstrap commandKind = 6
	kindFence     commandKind = 7
)

// command is a decoded entry of the replicated log. timestamp is in
// milliseconds of the state machine's clock, see
// ReplicatedState.commandTimestamp.
type command struct {
	timestamp int64
	kind      commandKind
	message   proto.Message                // nil for kindTick
	renewals  []*apiv1.RenewSessionRequest // only for kindTick
}

func newCommandMessage(kind commandKind) proto.Message {
	switch kind {
	case kindSubmit:
		return &apiv1.SubmitRequest{}
	case kindBegin:
		return &apiv1.BeginRequest{}
	case kindFinish:
		return &apiv1.FinishRequest{}
	case kindAbort:
		return &apiv1.AbortRequest{}
	case kindBootstrap:
		return &apiv1.Operator{}
	case kindFence:
		return &apiv1.AcquireFenceRequest{}
	}
	return nil
}

func encodeCommand(c command) ([]byte, error) {
	out := binary.AppendUvarint([]byte{commandVersion, byte(c.kind)}, uint64(c.timestamp))
	if c.kind != kindTick {
		return proto.MarshalOptions{Deterministic: true}.MarshalAppend(out, c.message)
	}
	b := bytes.NewBuffer(out)
	for _, r := range c.renewals {
		if _, err := protodelim.MarshalTo(b, r); err != nil {
			return nil, err
		}
	}
	return b.Bytes(), nil
}

func decodeCommand(data []byte) (command, error) {
	if len(data) < 2 || data[0] != commandVersion {
		return command{}, result.New(result.InvalidCommand, "unsupported command version")
	}
	c := command{kind: commandKind(data[1])}
	r := bytes.NewReader(data[2:])
	timestamp, err := binary.ReadUvarint(r)
	if err != nil {
		return command{}, result.Wrap(result.InvalidCommand, err, "command has no timestamp")
	}
	c.timestamp = int64(timestamp)
	if c.kind == kindTick {
		c.renewals, err = decodeRenewals(r)
		return c, err
	}
	if c.message = newCommandMessage(c.kind); c.message == nil {
		return command{}, result.New(result.InvalidCommand, "unknown command kind %d", c.kind)
	}
	if err := proto.Unmarshal(data[len(data)-r.Len():], c.message); err != nil {
		return command{}, result.Wrap(result.InvalidCommand, err, "command cannot be decoded")
	}
	return c, nil
}

func decodeRenewals(r *bytes.Reader) ([]*apiv1.RenewSessionRequest, error) {
	var out []*apiv1.RenewSessionRequest
	for {
		m := &apiv1.RenewSessionRequest{}
		err := protodelim.UnmarshalFrom(r, m)
		if err == io.EOF {
			return out, nil
		}
		if err != nil {
			return nil, result.Wrap(result.InvalidCommand, err, "tick cannot be decoded")
		}
		out = append(out, m)
	}
}

// hashOperatorKey replaces the operator's key with its hash, so that no key is
// written to the replicated log.
func hashOperatorKey(in *apiv1.SubmitRequest) *apiv1.SubmitRequest {
	out := proto.CloneOf(in)
	out.OperatorKey = hex.EncodeToString(workspace.HashKey(in.GetOperatorKey()))
	return out
}
