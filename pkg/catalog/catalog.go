// Package catalog holds the configuration of the fleet. A Catalog is one
// immutable revision; a Store holds the current one and replaces it only with a
// greater revision, so that a delayed or repeated message never reverts the
// configuration. The package also converts between API messages and domain
// types.
package catalog

import (
	"crypto/subtle"
	"maps"
	"slices"
	"strings"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/pkg/class"
	"jackdawtrack.example/jackdawtrack/pkg/datacentre"
	"jackdawtrack.example/jackdawtrack/pkg/release"
	"jackdawtrack.example/jackdawtrack/pkg/workspace"
)

// prefixWildcard at the end of a credential's name makes the credential valid
// for every server whose name starts with the rest.
const prefixWildcard = "*"

// Credential authenticates the announcements of one BackendServer, or, if its
// name ends with "*", of all whose names start with the part before it.
type Credential struct {
	Name    string
	KeyHash []byte // SHA-256
}

// Authenticate reports whether the key matches the credential.
func (c Credential) Authenticate(key string) bool { return matchesHash(c.KeyHash, key) }

// Operator is an identity that may submit commands.
type Operator struct {
	Name    string
	KeyHash []byte // SHA-256
}

// Authenticate reports whether the key matches the operator's key.
func (o Operator) Authenticate(key string) bool { return matchesHash(o.KeyHash, key) }

func matchesHash(hash []byte, key string) bool {
	return subtle.ConstantTimeCompare(hash, workspace.HashKey(key)) == 1
}

// Service is what operators state of a pool of BackendServers.
type Service struct {
	Name     string // of the pool
	Versions release.Versions
}

// Catalog is one revision of the configuration. It is immutable, so all methods
// are safe for concurrent use. Callers must not modify slices inside returned
// values.
type Catalog struct {
	revision    uint64
	classes     map[string]class.Class
	workspaces  map[string]workspace.Workspace
	dataCentres map[string]datacentre.DataCentre
	credentials map[string]Credential
	departures  map[string]struct{}
	operators   map[string]Operator
	services    map[string]Service
}

// Empty returns an empty catalog with revision 0.
func Empty() *Catalog { return &Catalog{} }

// Revision returns the revision, which increases with each accepted command.
func (c *Catalog) Revision() uint64 { return c.revision }

// Class returns the class with the given name.
func (c *Catalog) Class(name string) (class.Class, bool) {
	v, ok := c.classes[name]
	return v, ok
}

// Classes returns all classes, sorted by name.
func (c *Catalog) Classes() []class.Class { return sortedByName(c.classes) }

// Workspace returns the workspace with the given name.
func (c *Catalog) Workspace(name string) (workspace.Workspace, bool) {
	v, ok := c.workspaces[name]
	return v, ok
}

// Workspaces returns all workspaces, sorted by name.
func (c *Catalog) Workspaces() []workspace.Workspace { return sortedByName(c.workspaces) }

// IsDataCentreOut reports whether operators have taken the data centre out of
// service. A data centre that is not in the catalog is in service.
func (c *Catalog) IsDataCentreOut(name string) bool { return c.dataCentres[name].Out }

// DataCentres returns the data centres in the catalog, sorted by name.
func (c *Catalog) DataCentres() []datacentre.DataCentre { return sortedByName(c.dataCentres) }

// IsDeparting reports whether operators have marked the BackendServer as
// departing.
func (c *Catalog) IsDeparting(server string) bool {
	_, ok := c.departures[server]
	return ok
}

// Departures returns the names of all departing servers, sorted.
func (c *Catalog) Departures() []string { return slices.Sorted(maps.Keys(c.departures)) }

// BackendCredential returns the credential for a server: the one with its exact
// name, else the one with the longest matching prefix.
func (c *Catalog) BackendCredential(server string) (Credential, bool) {
	if strings.HasSuffix(server, prefixWildcard) {
		return Credential{}, false
	}
	if v, ok := c.credentials[server]; ok {
		return v, true
	}
	for n := len(server); n >= 0; n-- {
		if v, ok := c.credentials[server[:n]+prefixWildcard]; ok {
			return v, true
		}
	}
	return Credential{}, false
}

// Credentials returns all backend credentials, sorted by name.
func (c *Catalog) Credentials() []Credential { return sortedByName(c.credentials) }

// Operator returns the operator with the given name.
func (c *Catalog) Operator(name string) (Operator, bool) {
	v, ok := c.operators[name]
	return v, ok
}

// Operators returns all operators, sorted by name.
func (c *Catalog) Operators() []Operator { return sortedByName(c.operators) }

// Versions returns what operators state of the software versions of a service.
func (c *Catalog) Versions(service string) release.Versions { return c.services[service].Versions }

// Services returns all services of which operators state something, sorted by name.
func (c *Catalog) Services() []Service { return sortedByName(c.services) }

// WithChanges returns a catalog with the changes applied in order and the given
// revision. Changes of an unknown kind are skipped, so that routers keep
// working while control hosts are upgraded first.
func (c *Catalog) WithChanges(revision uint64, changes []*apiv1.Change) *Catalog {
	next := *c
	next.revision = revision
	cloned := map[Kind]bool{}
	for _, ch := range changes {
		kind, _ := ItemKey(ch)
		if !cloned[kind] {
			next.cloneMap(kind)
			cloned[kind] = true
		}
		next.applyChange(ch)
	}
	return &next
}

// cloneMap replaces the map of one kind with a copy that may be modified.
func (c *Catalog) cloneMap(kind Kind) {
	switch kind {
	case KindClass:
		c.classes = cloneOrMake(c.classes)
	case KindWorkspace:
		c.workspaces = cloneOrMake(c.workspaces)
	case KindDataCentre:
		c.dataCentres = cloneOrMake(c.dataCentres)
	case KindCredential:
		c.credentials = cloneOrMake(c.credentials)
	case KindDeparture:
		c.departures = cloneOrMake(c.departures)
	case KindOperator:
		c.operators = cloneOrMake(c.operators)
	case KindService:
		c.services = cloneOrMake(c.services)
	}
}

func (c *Catalog) applyChange(ch *apiv1.Change) {
	switch item := ch.GetItem().(type) {
	case *apiv1.Change_Class:
		setOrDelete(c.classes, item.Class.GetName(), ClassFromMessage(item.Class), ch.GetDelete())
	case *apiv1.Change_Workspace:
		setOrDelete(c.workspaces, item.Workspace.GetName(), WorkspaceFromMessage(item.Workspace), ch.GetDelete())
	case *apiv1.Change_DataCentre:
		setOrDelete(c.dataCentres, item.DataCentre.GetName(), DataCentreFromMessage(item.DataCentre), ch.GetDelete())
	case *apiv1.Change_BackendCredential:
		setOrDelete(c.credentials, item.BackendCredential.GetName(), CredentialFromMessage(item.BackendCredential), ch.GetDelete())
	case *apiv1.Change_Departure:
		setOrDelete(c.departures, item.Departure.GetServer(), struct{}{}, ch.GetDelete())
	case *apiv1.Change_Operator:
		setOrDelete(c.operators, item.Operator.GetName(), OperatorFromMessage(item.Operator), ch.GetDelete())
	case *apiv1.Change_Service:
		setOrDelete(c.services, item.Service.GetName(), ServiceFromMessage(item.Service), ch.GetDelete())
	}
}

func setOrDelete[V any](m map[string]V, name string, value V, remove bool) {
	if remove {
		delete(m, name)
		return
	}
	m[name] = value
}

func cloneOrMake[V any](m map[string]V) map[string]V {
	if m == nil {
		return map[string]V{}
	}
	return maps.Clone(m)
}

func sortedByName[V any](m map[string]V) []V {
	out := make([]V, 0, len(m))
	for _, name := range slices.Sorted(maps.Keys(m)) {
		out = append(out, m[name])
	}
	return out
}
