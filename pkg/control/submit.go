package control

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"errors"
	"fmt"

	"google.golang.org/protobuf/proto"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/pkg/catalog"
	"jackdawtrack.example/jackdawtrack/pkg/class"
	"jackdawtrack.example/jackdawtrack/pkg/result"
)

// submit executes an operator command. The result is stored under the command
// id, except after a failed authentication, which any caller can cause.
func (m *StateMachine) submit(in *apiv1.SubmitRequest) *apiv1.SubmitResponse {
	if !m.authenticateOperator(in.GetOperatorName(), in.GetOperatorKey()) {
		return errorResponse(result.New(result.NotAuthorized, "operator %q is not known or its key is wrong", in.GetOperatorName()))
	}
	if !class.ValidName(in.GetCommandId()) {
		return errorResponse(result.New(result.InvalidCommand, "command id %q: 1 to %d letters, digits, '-', '_' or '.'", in.GetCommandId(), class.MaxNameLength))
	}
	hash := commandHash(in)
	if first, ok := m.commandResults.lookup(in.GetCommandId()); ok {
		return m.repeatedResponse(first, hash)
	}
	out := m.applyChanges(in)
	out.Revision = m.catalog.Revision()
	m.commandResults.add(in.GetCommandId(), hash, out)
	return out
}

// repeatedResponse returns the response for a command id that was used before.
func (m *StateMachine) repeatedResponse(first commandResult, hash string) *apiv1.SubmitResponse {
	if first.fingerprint != hash {
		out := errorResponse(result.New(result.CommandReused, "the command id was used for another command"))
		out.Revision = m.catalog.Revision()
		return out
	}
	out := proto.CloneOf(first.response)
	out.RepeatedCommand = true
	return out
}

// authenticateOperator compares the hash of an operator's key, in hexadecimal,
// with the catalog.
func (m *StateMachine) authenticateOperator(name, keyHash string) bool {
	operator, ok := m.catalog.Operator(name)
	if !ok {
		return false
	}
	want := hex.EncodeToString(operator.KeyHash)
	return subtle.ConstantTimeCompare([]byte(want), []byte(keyHash)) == 1
}

// commandHash returns a hash of the content of a command. The command id and
// the operator's key are left out: a command may be resent after the key was
// replaced.
func commandHash(in *apiv1.SubmitRequest) string {
	content := &apiv1.SubmitRequest{
		ExpectedRevision: in.GetExpectedRevision(),
		Changes:          in.GetChanges(),
		OperatorName:     in.GetOperatorName(),
	}
	data, _ := proto.MarshalOptions{Deterministic: true}.Marshal(content)
	sum := sha256.Sum256(data)
	return string(sum[:])
}

// applyChanges validates a command and commits its changes as a revision.
func (m *StateMachine) applyChanges(in *apiv1.SubmitRequest) *apiv1.SubmitResponse {
	if expected := in.GetExpectedRevision(); expected != 0 && expected != m.catalog.Revision() {
		return m.revisionConflict(in, expected)
	}
	if err := m.validateChanges(in.GetChanges()); err != nil {
		return errorResponse(err)
	}
	m.commitRevision(in.GetChanges())
	return &apiv1.SubmitResponse{}
}

// revisionConflict returns a response with the current values of the items, so
// that the operator sees what another command changed.
func (m *StateMachine) revisionConflict(in *apiv1.SubmitRequest, expected uint64) *apiv1.SubmitResponse {
	out := errorResponse(result.New(result.RevisionConflict, "expected revision %d, the present one is %d", expected, m.catalog.Revision()))
	for _, ch := range in.GetChanges()[:min(len(in.GetChanges()), MaxChangesPerCommand)] {
		if kind, _ := catalog.ItemKey(ch); kind != catalog.KindUnknown {
			out.Present = append(out.Present, m.catalog.Present(ch))
		}
	}
	return out
}

func (m *StateMachine) validateChanges(changes []*apiv1.Change) error {
	if n := len(changes); n == 0 || n > MaxChangesPerCommand {
		return result.New(result.InvalidCommand, "%d changes, need 1 to %d", n, MaxChangesPerCommand)
	}
	seen := map[string]bool{}
	for _, ch := range changes {
		if err := catalog.Validate(ch); err != nil {
			return err
		}
		kind, name := catalog.ItemKey(ch)
		id := fmt.Sprintf("%d %s", kind, name)
		if seen[id] {
			return result.New(result.InvalidCommand, "%s %s is changed twice", kind, name)
		}
		seen[id] = true
		if ch.GetDelete() && !m.catalog.Contains(ch) {
			return result.New(result.NotFound, "%s %s does not exist", kind, name)
		}
	}
	if len(m.catalog.WithChanges(0, changes).Operators()) == 0 {
		return result.New(result.InvalidCommand, "the last operator cannot be deleted")
	}
	return nil
}

// errorResponse converts an error to a response.
func errorResponse(err error) *apiv1.SubmitResponse {
	out := &apiv1.SubmitResponse{Code: uint32(result.InvalidCommand), Message: err.Error()}
	var e *result.Error
	if errors.As(err, &e) {
		out.Code, out.Message = uint32(e.Code), e.Message
	}
	return out
}
