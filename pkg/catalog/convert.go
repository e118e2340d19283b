package catalog

import (
	"time"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/pkg/class"
	"jackdawtrack.example/jackdawtrack/pkg/datacentre"
	"jackdawtrack.example/jackdawtrack/pkg/release"
	"jackdawtrack.example/jackdawtrack/pkg/workspace"
)

// Kind is the kind of a catalog item.
type Kind int

// Kinds of items. KindUnknown is a kind that only a later version knows.
const (
	KindUnknown Kind = iota
	KindClass
	KindWorkspace
	KindDataCentre
	KindCredential
	KindDeparture
	KindOperator
	KindService
)

// String returns the name of the kind as used in messages.
func (k Kind) String() string {
	names := [...]string{"unknown item", "class", "workspace", "data centre", "backend credential", "departure", "operator", "service"}
	if k < 0 || int(k) >= len(names) {
		return names[KindUnknown]
	}
	return names[k]
}

// ItemKey returns the kind and name of the item that a change sets or removes.
func ItemKey(ch *apiv1.Change) (Kind, string) {
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
	case *apiv1.Change_Service:
		return KindService, item.Service.GetName()
	}
	return KindUnknown, ""
}

// ClassFromMessage converts a message and fills unset values with defaults.
func ClassFromMessage(m *apiv1.Class) class.Class {
	return class.Class{
		Name:            m.GetName(),
		FirstToken:      milliseconds(m.GetFirstTokenMs()),
		TokenInterval:   milliseconds(m.GetTokenIntervalMs()),
		Answer:          milliseconds(m.GetAnswerMs()),
		MayWait:         m.GetMayWait(),
		MaxWait:         milliseconds(m.GetMaxWaitMs()),
		MayRunTwice:     m.GetMayRunTwice(),
		ProgressTimeout: milliseconds(m.GetProgressTimeoutMs()),
		MaxDuration:     milliseconds(m.GetMaxDurationMs()),
		Objective:       m.GetObjective(),
	}.WithDefaults()
}

// ClassToMessage converts a class. Durations are truncated to milliseconds.
func ClassToMessage(c class.Class) *apiv1.Class {
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

func milliseconds(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

// WorkspaceFromMessage converts a message.
func WorkspaceFromMessage(m *apiv1.Workspace) workspace.Workspace {
	return workspace.Workspace{Name: m.GetName(), KeyHashes: m.GetKeyHashes(), RequestsPerSecond: m.GetRequestsPerSecond()}
}

// WorkspaceToMessage converts a workspace.
func WorkspaceToMessage(w workspace.Workspace) *apiv1.Workspace {
	return &apiv1.Workspace{Name: w.Name, KeyHashes: w.KeyHashes, RequestsPerSecond: w.RequestsPerSecond}
}

// DataCentreFromMessage converts a message.
func DataCentreFromMessage(m *apiv1.DataCentre) datacentre.DataCentre {
	return datacentre.DataCentre{Name: m.GetName(), Out: m.GetOut()}
}

// DataCentreToMessage converts a data centre.
func DataCentreToMessage(d datacentre.DataCentre) *apiv1.DataCentre {
	return &apiv1.DataCentre{Name: d.Name, Out: d.Out}
}

// CredentialFromMessage converts a message.
func CredentialFromMessage(m *apiv1.BackendCredential) Credential {
	return Credential{Name: m.GetName(), KeyHash: m.GetKeyHash()}
}

// CredentialToMessage converts a credential.
func CredentialToMessage(c Credential) *apiv1.BackendCredential {
	return &apiv1.BackendCredential{Name: c.Name, KeyHash: c.KeyHash}
}

// OperatorFromMessage converts a message.
func OperatorFromMessage(m *apiv1.Operator) Operator {
	return Operator{Name: m.GetName(), KeyHash: m.GetKeyHash()}
}

// OperatorToMessage converts an operator.
func OperatorToMessage(o Operator) *apiv1.Operator {
	return &apiv1.Operator{Name: o.Name, KeyHash: o.KeyHash}
}

// ServiceFromMessage converts a message. A statement that only a later version knows
// counts as the strictest one.
func ServiceFromMessage(m *apiv1.Service) Service {
	versions := release.Several
	switch m.GetSoftwareVersions() {
	case apiv1.SoftwareVersions_SOFTWARE_VERSIONS_UNSPECIFIED:
		versions = release.Unstated
	case apiv1.SoftwareVersions_SOFTWARE_VERSIONS_ONE:
		versions = release.One
	}
	return Service{Name: m.GetName(), Versions: versions}
}

// ServiceToMessage converts a service.
func ServiceToMessage(s Service) *apiv1.Service {
	versions := apiv1.SoftwareVersions_SOFTWARE_VERSIONS_SEVERAL
	switch s.Versions {
	case release.Unstated:
		versions = apiv1.SoftwareVersions_SOFTWARE_VERSIONS_UNSPECIFIED
	case release.One:
		versions = apiv1.SoftwareVersions_SOFTWARE_VERSIONS_ONE
	}
	return &apiv1.Service{Name: s.Name, SoftwareVersions: versions}
}

// ClassChange returns the change that sets a class.
func ClassChange(c class.Class) *apiv1.Change {
	return &apiv1.Change{Item: &apiv1.Change_Class{Class: ClassToMessage(c)}}
}

// WorkspaceChange returns the change that sets a workspace.
func WorkspaceChange(w workspace.Workspace) *apiv1.Change {
	return &apiv1.Change{Item: &apiv1.Change_Workspace{Workspace: WorkspaceToMessage(w)}}
}

// DataCentreChange returns the change that sets a data centre.
func DataCentreChange(d datacentre.DataCentre) *apiv1.Change {
	return &apiv1.Change{Item: &apiv1.Change_DataCentre{DataCentre: DataCentreToMessage(d)}}
}

// CredentialChange returns the change that sets a backend credential.
func CredentialChange(c Credential) *apiv1.Change {
	return &apiv1.Change{Item: &apiv1.Change_BackendCredential{BackendCredential: CredentialToMessage(c)}}
}

// DepartureChange returns the change that marks a server as departing.
func DepartureChange(server string) *apiv1.Change {
	return &apiv1.Change{Item: &apiv1.Change_Departure{Departure: &apiv1.Departure{Server: server}}}
}

// OperatorChange returns the change that sets an operator.
func OperatorChange(o Operator) *apiv1.Change {
	return &apiv1.Change{Item: &apiv1.Change_Operator{Operator: OperatorToMessage(o)}}
}

// ServiceChange returns the change that sets what operators state of a service.
func ServiceChange(s Service) *apiv1.Change {
	return &apiv1.Change{Item: &apiv1.Change_Service{Service: ServiceToMessage(s)}}
}

// Items returns all items as changes, ordered by kind and name.
func (c *Catalog) Items() []*apiv1.Change {
	var out []*apiv1.Change
	out = appendChanges(out, c.Classes(), ClassChange)
	out = appendChanges(out, c.Workspaces(), WorkspaceChange)
	out = appendChanges(out, c.DataCentres(), DataCentreChange)
	out = appendChanges(out, c.Credentials(), CredentialChange)
	out = appendChanges(out, c.Departures(), DepartureChange)
	out = appendChanges(out, c.Operators(), OperatorChange)
	return appendChanges(out, c.Services(), ServiceChange)
}

func appendChanges[V any](out []*apiv1.Change, values []V, change func(V) *apiv1.Change) []*apiv1.Change {
	for _, v := range values {
		out = append(out, change(v))
	}
	return out
}

// Present returns the current value of the item of a change, or a deletion of
// the item if the catalog does not contain it.
func (c *Catalog) Present(ch *apiv1.Change) *apiv1.Change {
	kind, name := ItemKey(ch)
	found, ok := c.findChange(kind, name)
	if ok {
		return found
	}
	return &apiv1.Change{Item: ch.GetItem(), Delete: true}
}

// Contains reports whether the catalog contains the item of a change.
func (c *Catalog) Contains(ch *apiv1.Change) bool {
	_, ok := c.findChange(ItemKey(ch))
	return ok
}

func (c *Catalog) findChange(kind Kind, name string) (*apiv1.Change, bool) {
	switch kind {
	case KindClass:
		return findItem(c.classes, name, ClassChange)
	case KindWorkspace:
		return findItem(c.workspaces, name, WorkspaceChange)
	case KindDataCentre:
		return findItem(c.dataCentres, name, DataCentreChange)
	case KindCredential:
		return findItem(c.credentials, name, CredentialChange)
	case KindDeparture:
		return findItem(c.departures, name, func(struct{}) *apiv1.Change { return DepartureChange(name) })
	case KindOperator:
		return findItem(c.operators, name, OperatorChange)
	case KindService:
		return findItem(c.services, name, ServiceChange)
	}
	return nil, false
}

func findItem[V any](m map[string]V, name string, change func(V) *apiv1.Change) (*apiv1.Change, bool) {
	v, ok := m[name]
	if !ok {
		return nil, false
	}
	return change(v), true
}
