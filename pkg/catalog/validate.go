package catalog

import (
	"crypto/sha256"
	"math"
	"strings"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/pkg/class"
	"jackdawtrack.example/jackdawtrack/pkg/result"
)

// Validate returns an InvalidCommand error for the first value of a change that
// is out of range. A deletion needs only a valid name.
func Validate(ch *apiv1.Change) error {
	kind, name := ItemKey(ch)
	if kind == KindUnknown {
		return result.New(result.InvalidCommand, "a change names no item that this version knows")
	}
	if !validName(kind, name) {
		return result.New(result.InvalidCommand, "%s name %q: 1 to %d letters, digits, '-', '_' or '.'", kind, name, class.MaxNameLength)
	}
	if ch.GetDelete() {
		return nil
	}
	return validateItem(ch)
}

func validName(kind Kind, name string) bool {
	prefix, isPrefix := strings.CutSuffix(name, prefixWildcard)
	if kind == KindCredential && isPrefix {
		return prefix == "" || class.ValidName(prefix)
	}
	return class.ValidName(name)
}

func validateItem(ch *apiv1.Change) error {
	switch item := ch.GetItem().(type) {
	case *apiv1.Change_Class:
		return validateClass(item.Class)
	case *apiv1.Change_Workspace:
		return validateWorkspace(item.Workspace)
	case *apiv1.Change_BackendCredential:
		return validateHash(KindCredential, item.BackendCredential.GetName(), item.BackendCredential.GetKeyHash())
	case *apiv1.Change_Operator:
		return validateHash(KindOperator, item.Operator.GetName(), item.Operator.GetKeyHash())
	case *apiv1.Change_Service:
		return validateService(item.Service)
	}
	return nil
}

// validateClass checks the milliseconds before their conversion to durations,
// which could overflow into the allowed range.
func validateClass(m *apiv1.Class) error {
	limit := class.MaxDurationAllowed.Milliseconds()
	for _, ms := range []int64{
		m.GetFirstTokenMs(), m.GetTokenIntervalMs(), m.GetAnswerMs(),
		m.GetMaxWaitMs(), m.GetProgressTimeoutMs(), m.GetMaxDurationMs(),
	} {
		if ms < 0 || ms > limit {
			return result.New(result.InvalidCommand, "class %s: duration of %d ms is outside 0 to %d", m.GetName(), ms, limit)
		}
	}
	if math.IsNaN(m.GetObjective()) {
		return result.New(result.InvalidCommand, "class %s: objective is not a number", m.GetName())
	}
	return ClassFromMessage(m).Validate()
}

func validateWorkspace(m *apiv1.Workspace) error {
	rate := m.GetRequestsPerSecond()
	if math.IsNaN(rate) || math.IsInf(rate, 0) {
		return result.New(result.InvalidCommand, "workspace %s: request rate is not a number", m.GetName())
	}
	return WorkspaceFromMessage(m).Validate()
}

// validateService refuses a service without a statement: it is deleted instead.
func validateService(m *apiv1.Service) error {
	switch m.GetSoftwareVersions() {
	case apiv1.SoftwareVersions_SOFTWARE_VERSIONS_ONE, apiv1.SoftwareVersions_SOFTWARE_VERSIONS_SEVERAL:
		return nil
	}
	return result.New(result.InvalidCommand, "service %s: software versions %d are neither one nor several", m.GetName(), m.GetSoftwareVersions())
}

func validateHash(kind Kind, name string, hash []byte) error {
	if len(hash) != sha256.Size {
		return result.New(result.InvalidCommand, "%s %s: key hash has %d bytes instead of %d", kind, name, len(hash), sha256.Size)
	}
	return nil
}
