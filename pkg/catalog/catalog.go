// Package catalog holds one revision of the whole configuration of the fleet.
// A Catalog is immutable; a Store holds the present one and replaces it only
// by a greater revision, so that a late or repeated message never reverts the
// configuration. Conversions between messages and domain aggregates live here.
package catalog

import (
	"crypto/subtle"
	"maps"
	"slices"
	"strings"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/pkg/class"
	"jackdawtrack.example/jackdawtrack/pkg/datacentre"
	"jackdawtrack.example/jackdawtrack/pkg/workspace"
)

// prefixMark ends the name of a credential that covers every server whose
// name begins with the rest.
const prefixMark = "*"

// Credential authenticates the announcements of one BackendServer, or of all
// whose names begin with the part before a final "*".
type Credential struct {
	Name    string
	KeyHash []byte // SHA-256
}

// Authenticate reports whether the key belongs to the credential.
func (c Credential) Authenticate(key string) bool { return matches(c.KeyHash, key) }

// Operator may submit commands.
type Operator struct {
	Name    string
	KeyHash []byte // SHA-256
}

// Authenticate reports whether the key belongs to the operator.
func (o Operator) Authenticate(key string) bool { return matches(o.KeyHash, key) }

func matches(hash []byte, key string) bool {
	return subtle.ConstantTimeCompare(hash, workspace.HashKey(key)) == 1
}

// Catalog is one revision of the configuration. All methods are safe for
// concurrent use, because a Catalog never changes. Callers must not change
// the slices inside returned values.
type Catalog struct {
	revision    uint64
	classes     map[string]class.Class
	workspaces  map[string]workspace.Workspace
	dataCentres map[string]datacentre.DataCentre
	credentials map[string]Credential
	departures  map[string]struct{}
	operators   map[string]Operator
}

// Empty returns the catalog of revision 0.
func Empty() *Catalog { return &Catalog{} }

// Revision returns the revision, which rises with each accepted command.
func (c *Catalog) Revision() uint64 { return c.revision }

// Class returns the class of that name.
func (c *Catalog) Class(name string) (class.Class, bool) {
	v, ok := c.classes[name]
	return v, ok
}

// Classes returns all classes in the order of their names.
func (c *Catalog) Classes() []class.Class { return ordered(c.classes) }

// Workspace returns the workspace of that name.
func (c *Catalog) Workspace(name string) (workspace.Workspace, bool) {
	v, ok := c.workspaces[name]
	return v, ok
}

// Workspaces returns all workspaces in the order of their names.
func (c *Catalog) Workspaces() []workspace.Workspace { return ordered(c.workspaces) }

// DataCentreOut reports whether operators have taken the data centre out. A
// data centre that the catalog does not name is in.
func (c *Catalog) DataCentreOut(name string) bool { return c.dataCentres[name].Out }

// DataCentres returns the data centres that operators have named, in the
// order of their names.
func (c *Catalog) DataCentres() []datacentre.DataCentre { return ordered(c.dataCentres) }

// Departed reports whether operators are taking the BackendServer away.
func (c *Catalog) Departed(server string) bool {
	_, ok := c.departures[server]
	return ok
}

// Departures returns the names of departed servers in order.
func (c *Catalog) Departures() []string { return slices.Sorted(maps.Keys(c.departures)) }

// BackendCredential returns the credential for a server: the one with its
// exact name, else the one with the longest prefix of it.
func (c *Catalog) BackendCredential(server string) (Credential, bool) {
	if strings.HasSuffix(server, prefixMark) {
		return Credential{}, false
	}
	if v, ok := c.credentials[server]; ok {
		return v, true
	}
	for n := len(server); n >= 0; n-- {
		if v, ok := c.credentials[server[:n]+prefixMark]; ok {
			return v, true
		}
	}
	return Credential{}, false
}

// Credentials returns all backend credentials in the order of their names.
func (c *Catalog) Credentials() []Credential { return ordered(c.credentials) }

// Operator returns the operator of that name.
func (c *Catalog) Operator(name string) (Operator, bool) {
	v, ok := c.operators[name]
	return v, ok
}

// Operators returns all operators in the order of their names.
func (c *Catalog) Operators() []Operator { return ordered(c.operators) }

// With returns the catalog of a revision after the changes, in their order. A
// change of a kind that this version does not know is skipped, so that a
// router keeps working while control is upgraded first.
func (c *Catalog) With(revision uint64, changes []*apiv1.Change) *Catalog {
	next := *c
	next.revision = revision
	owned := map[Kind]bool{}
	for _, ch := range changes {
		kind, _ := Key(ch)
		if !owned[kind] {
			next.own(kind)
			owned[kind] = true
		}
		next.set(ch)
	}
	return &next
}

// own replaces the map of one kind by a copy that may be changed.
func (c *Catalog) own(kind Kind) {
	switch kind {
	case KindClass:
		c.classes = writable(c.classes)
	case KindWorkspace:
		c.workspaces = writable(c.workspaces)
	case KindDataCentre:
		c.dataCentres = writable(c.dataCentres)
	case KindCredential:
		c.credentials = writable(c.credentials)
	case KindDeparture:
		c.departures = writable(c.departures)
	case KindOperator:
		c.operators = writable(c.operators)
	}
}

func (c *Catalog) set(ch *apiv1.Change) {
	switch item := ch.GetItem().(type) {
	case *apiv1.Change_Class:
		put(c.classes, item.Class.GetName(), ClassFrom(item.Class), ch.GetDelete())
	case *apiv1.Change_Workspace:
		put(c.workspaces, item.Workspace.GetName(), WorkspaceFrom(item.Workspace), ch.GetDelete())
	case *apiv1.Change_DataCentre:
		put(c.dataCentres, item.DataCentre.GetName(), DataCentreFrom(item.DataCentre), ch.GetDelete())
	case *apiv1.Change_BackendCredential:
		put(c.credentials, item.BackendCredential.GetName(), CredentialFrom(item.BackendCredential), ch.GetDelete())
	case *apiv1.Change_Departure:
		put(c.departures, item.Departure.GetServer(), struct{}{}, ch.GetDelete())
	case *apiv1.Change_Operator:
		put(c.operators, item.Operator.GetName(), OperatorFrom(item.Operator), ch.GetDelete())
	}
}

func put[V any](m map[string]V, name string, value V, remove bool) {
	if remove {
		delete(m, name)
		return
	}
	m[name] = value
}

func writable[V any](m map[string]V) map[string]V {
	if m == nil {
		return map[string]V{}
	}
	return maps.Clone(m)
}

func ordered[V any](m map[string]V) []V {
	out := make([]V, 0, len(m))
	for _, name := range slices.Sorted(maps.Keys(m)) {
		out = append(out, m[name])
	}
	return out
}
