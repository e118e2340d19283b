package catalog

import (
	"time"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/pkg/class"
	"jackdawtrack.example/jackdawtrack/pkg/datacentre"
	"jackdawtrack.example/jackdawtrack/pkg/workspace"
)

// Kind tells the items of a catalog apart.
type Kind int

// Kinds of items. KindUnknown is a change made by a later version.
const (
	KindUnknown Kind = iota
	KindClass
	KindWorkspace
	KindDataCentre
	KindCredential
	KindDeparture
	KindOperator
)

// String returns the kind as messages name it.
func (k Kind) String() string {
	names := [...]string{"unknown item", "class", "workspace", "data centre", "backend credential", "departure", "operator"}
	if k < 0 || int(k) >= len(names) {
		return names[KindUnknown]
	}
	return names[k]
}

// Key returns the kind and name of the item that a change sets or removes.
func Key(ch *apiv1.Change) (Kind, string) {
	switch item := ch.GetItem().(type) {
	case *apiv1.Change_Class:
		return KindClass, item.Class.GetName()
	case *apiv1.Change_Workspace:
		return KindWorkspace, item.Workspace.GetName()
	case *apiv1.Change_DataCentre:
		return KindDataCentre, item.DataCentre.GetName()
	case *apiv1.Change_BackendCredential:
		return KindCredential, item.BackendCredential.GetName()
	case *apiv1.Change_Departure:
		return KindDeparture, item.Departure.GetServer()
	case *apiv1.Change_Operator:
		return KindOperator, item.Operator.GetName()
	}
	return KindUnknown, ""
}

// ClassFrom converts a message and fills unset values with defaults.
func ClassFrom(m *apiv1.Class) class.Class {
	return class.Class{
		Name:            m.GetName(),
		FirstToken:      millis(m.GetFirstTokenMs()),
		TokenInterval:   millis(m.GetTokenIntervalMs()),
		Answer:          millis(m.GetAnswerMs()),
		MayWait:         m.GetMayWait(),
		MaxWait:         millis(m.GetMaxWaitMs()),
		MayRunTwice:     m.GetMayRunTwice(),
		ProgressTimeout: millis(m.GetProgressTimeoutMs()),
		MaxDuration:     millis(m.GetMaxDurationMs()),
		Objective:       m.GetObjective(),
	}.Normalize()
}

// ClassTo converts a class. Durations are cut to whole milliseconds.
func ClassTo(c class.Class) *apiv1.Class {
	return &apiv1.Class{
		Name:              c.Name,
		FirstTokenMs:      c.FirstToken.Milliseconds(),
		TokenIntervalMs:   c.TokenInterval.Milliseconds(),
		AnswerMs:          c.Answer.Milliseconds(),
		MayWait:           c.MayWait,
		MaxWaitMs:         c.MaxWait.Milliseconds(),
		MayRunTwice:       c.MayRunTwice,
		ProgressTimeoutMs: c.ProgressTimeout.Milliseconds(),
		MaxDurationMs:     c.MaxDuration.Milliseconds(),
		Objective:         c.Objective,
	}
}

func millis(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

// WorkspaceFrom converts a message.
func WorkspaceFrom(m *apiv1.Workspace) workspace.Workspace {
	return workspace.Workspace{Name: m.GetName(), KeyHashes: m.GetKeyHashes(), RequestsPerSecond: m.GetRequestsPerSecond()}
}

// WorkspaceTo converts a workspace.
func WorkspaceTo(w workspace.Workspace) *apiv1.Workspace {
	return &apiv1.Workspace{Name: w.Name, KeyHashes: w.KeyHashes, RequestsPerSecond: w.RequestsPerSecond}
}

// DataCentreFrom converts a message.
func DataCentreFrom(m *apiv1.DataCentre) datacentre.DataCentre {
	return datacentre.DataCentre{Name: m.GetName(), Out: m.GetOut()}
}

// DataCentreTo converts a data centre.
func DataCentreTo(d datacentre.DataCentre) *apiv1.DataCentre {
	return &apiv1.DataCentre{Name: d.Name, Out: d.Out}
}

// CredentialFrom converts a message.
func CredentialFrom(m *apiv1.BackendCredential) Credential {
	return Credential{Name: m.GetName(), KeyHash: m.GetKeyHash()}
}

// CredentialTo converts a credential.
func CredentialTo(c Credential) *apiv1.BackendCredential {
	return &apiv1.BackendCredential{Name: c.Name, KeyHash: c.KeyHash}
}

// OperatorFrom converts a message.
func OperatorFrom(m *apiv1.Operator) Operator {
	return Operator{Name: m.GetName(), KeyHash: m.GetKeyHash()}
}

// OperatorTo converts an operator.
func OperatorTo(o Operator) *apiv1.Operator {
	return &apiv1.Operator{Name: o.Name, KeyHash: o.KeyHash}
}

// ClassChange returns the change that sets a class.
func ClassChange(c class.Class) *apiv1.Change {
	return &apiv1.Change{Item: &apiv1.Change_Class{Class: ClassTo(c)}}
}

// WorkspaceChange returns the change that sets a workspace.
func WorkspaceChange(w workspace.Workspace) *apiv1.Change {
	return &apiv1.Change{Item: &apiv1.Change_Workspace{Workspace: WorkspaceTo(w)}}
}

// DataCentreChange returns the change that sets a data centre.
func DataCentreChange(d datacentre.DataCentre) *apiv1.Change {
	return &apiv1.Change{Item: &apiv1.Change_DataCentre{DataCentre: DataCentreTo(d)}}
}

// CredentialChange returns the change that sets a backend credential.
func CredentialChange(c Credential) *apiv1.Change {
	return &apiv1.Change{Item: &apiv1.Change_BackendCredential{BackendCredential: CredentialTo(c)}}
}

// DepartureChange returns the change that marks a server as departed.
func DepartureChange(server string) *apiv1.Change {
	return &apiv1.Change{Item: &apiv1.Change_Departure{Departure: &apiv1.Departure{Server: server}}}
}

// OperatorChange returns the change that sets an operator.
func OperatorChange(o Operator) *apiv1.Change {
	return &apiv1.Change{Item: &apiv1.Change_Operator{Operator: OperatorTo(o)}}
}

// Items returns the whole catalog as changes, ordered by kind and name.
func (c *Catalog) Items() []*apiv1.Change {
	var out []*apiv1.Change
	out = appendAll(out, c.Classes(), ClassChange)
	out = appendAll(out, c.Workspaces(), WorkspaceChange)
	out = appendAll(out, c.DataCentres(), DataCentreChange)
	out = appendAll(out, c.Credentials(), CredentialChange)
	out = appendAll(out, c.Departures(), DepartureChange)
	return appendAll(out, c.Operators(), OperatorChange)
}

func appendAll[V any](out []*apiv1.Change, values []V, change func(V) *apiv1.Change) []*apiv1.Change {
	for _, v := range values {
		out = append(out, change(v))
	}
	return out
}

// Present returns the value that the catalog holds for the item of a change,
// or a deletion of it when the catalog does not hold it.
func (c *Catalog) Present(ch *apiv1.Change) *apiv1.Change {
	kind, name := Key(ch)
	found, ok := c.lookup(kind, name)
	if ok {
		return found
	}
	return &apiv1.Change{Item: ch.GetItem(), Delete: true}
}

// Has reports whether the catalog holds the item of a change.
func (c *Catalog) Has(ch *apiv1.Change) bool {
	_, ok := c.lookup(Key(ch))
	return ok
}

func (c *Catalog) lookup(kind Kind, name string) (*apiv1.Change, bool) {
	switch kind {
	case KindClass:
		return find(c.classes, name, ClassChange)
	case KindWorkspace:
		return find(c.workspaces, name, WorkspaceChange)
	case KindDataCentre:
		return find(c.dataCentres, name, DataCentreChange)
	case KindCredential:
		return find(c.credentials, name, CredentialChange)
	case KindDeparture:
		return find(c.departures, name, func(struct{}) *apiv1.Change { return DepartureChange(name) })
	case KindOperator:
		return find(c.operators, name, OperatorChange)
	}
	return nil, false
}

func find[V any](m map[string]V, name string, change func(V) *apiv1.Change) (*apiv1.Change, bool) {
	v, ok := m[name]
	if !ok {
		return nil, false
	}
	return change(v), true
}
