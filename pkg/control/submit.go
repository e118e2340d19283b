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

// submit executes an operator command. Every outcome is kept under the
// command id, except that of a refused credential, which anyone can cause.
func (m *Machine) submit(in *apiv1.SubmitRequest) *apiv1.SubmitResponse {
	if !m.authorized(in.GetOperatorName(), in.GetOperatorKey()) {
		return refusal(result.New(result.NotAuthorized, "operator %q is not known or its key is wrong", in.GetOperatorName()))
	}
	if !class.ValidName(in.GetCommandId()) {
		return refusal(result.New(result.InvalidCommand, "command id %q: 1 to %d letters, digits, '-', '_' or '.'", in.GetCommandId(), class.MaxNameLength))
	}
	print := fingerprint(in)
	if first, ok := m.results.find(in.GetCommandId()); ok {
		return m.repeated(first, print)
	}
	out := m.decide(in)
	out.Revision = m.catalog.Revision()
	m.results.keep(in.GetCommandId(), print, out)
	return out
}

// repeated answers a command id that was used before.
func (m *Machine) repeated(first storedResult, print string) *apiv1.SubmitResponse {
	if first.fingerprint != print {
		out := refusal(result.New(result.CommandReused, "the command id was used for another command"))
		out.Revision = m.catalog.Revision()
		return out
	}
	out := proto.CloneOf(first.response)
	out.RepeatedCommand = true
	return out
}

// authorized compares the hash of an operator's key, in hexadecimal, with the
// catalog.
func (m *Machine) authorized(name, keyHash string) bool {
	operator, ok := m.catalog.Operator(name)
	if !ok {
		return false
	}
	want := hex.EncodeToString(operator.KeyHash)
	return subtle.ConstantTimeCompare([]byte(want), []byte(keyHash)) == 1
}

// fingerprint identifies the content of a command. The command id and the
// operator's key are left out: the same command may be resent after the
// operator's key was replaced.
func fingerprint(in *apiv1.SubmitRequest) string {
	content := &apiv1.SubmitRequest{
		ExpectedRevision: in.GetExpectedRevision(),
		Changes:          in.GetChanges(),
		OperatorName:     in.GetOperatorName(),
	}
	data, _ := proto.MarshalOptions{Deterministic: true}.Marshal(content)
	sum := sha256.Sum256(data)
	return string(sum[:])
}

// decide checks a command and makes a revision of it.
func (m *Machine) decide(in *apiv1.SubmitRequest) *apiv1.SubmitResponse {
	if expected := in.GetExpectedRevision(); expected != 0 && expected != m.catalog.Revision() {
		return m.conflict(in, expected)
	}
	if err := m.check(in.GetChanges()); err != nil {
		return refusal(err)
	}
	m.commit(in.GetChanges())
	return &apiv1.SubmitResponse{}
}

// conflict tells the operator who lost a race what the winner made of the
// items.
func (m *Machine) conflict(in *apiv1.SubmitRequest, expected uint64) *apiv1.SubmitResponse {
	out := refusal(result.New(result.RevisionConflict, "expected revision %d, the present one is %d", expected, m.catalog.Revision()))
	for _, ch := range in.GetChanges()[:min(len(in.GetChanges()), MaxChanges)] {
		if kind, _ := catalog.Key(ch); kind != catalog.KindUnknown {
			out.Present = append(out.Present, m.catalog.Present(ch))
		}
	}
	return out
}

func (m *Machine) check(changes []*apiv1.Change) error {
	if n := len(changes); n == 0 || n > MaxChanges {
		return result.New(result.InvalidCommand, "%d changes, need 1 to %d", n, MaxChanges)
	}
	seen := map[string]bool{}
	for _, ch := range changes {
		if err := catalog.Validate(ch); err != nil {
			return err
		}
		kind, name := catalog.Key(ch)
		id := fmt.Sprintf("%d %s", kind, name)
		if seen[id] {
			return result.New(result.InvalidCommand, "%s %s is changed twice", kind, name)
		}
		seen[id] = true
		if ch.GetDelete() && !m.catalog.Has(ch) {
			return result.New(result.NotFound, "%s %s does not exist", kind, name)
		}
	}
	if len(m.catalog.With(0, changes).Operators()) == 0 {
		return result.New(result.InvalidCommand, "the last operator cannot be deleted")
	}
	return nil
}

// refusal turns an error into a response.
func refusal(err error) *apiv1.SubmitResponse {
	out := &apiv1.SubmitResponse{Code: uint32(result.InvalidCommand), Message: err.Error()}
	var e *result.Error
	if errors.As(err, &e) {
		out.Code, out.Message = uint32(e.Code), e.Message
	}
	return out
}
