// Package datacentre defines DataCentre, a failure domain that operators can
// take out of service and bring back.
package datacentre

import (
	"jackdawtrack.example/jackdawtrack/pkg/class"
	"jackdawtrack.example/jackdawtrack/pkg/result"
)

// DataCentre is a failure domain with its own entry hosts and backend servers.
// While Out is set, its backend servers get no new work.
type DataCentre struct {
	Name string
	Out  bool
}

// Validate returns an InvalidCommand error for an invalid name.
func (d DataCentre) Validate() error {
	if !class.ValidName(d.Name) {
		return result.New(result.InvalidCommand, "data centre name %q: 1 to %d letters, digits, '-', '_' or '.'", d.Name, class.MaxNameLength)
	}
	return nil
}
