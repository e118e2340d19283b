// Package datacentre holds the aggregate DataCentre: a failure domain that
// operators take out of service and bring back.
package datacentre

import (
	"jackdawtrack.example/jackdawtrack/pkg/class"
	"jackdawtrack.example/jackdawtrack/pkg/result"
)

// DataCentre is one failure domain with its own entry hosts and backend
// servers. Out means that its backend servers receive no new work.
type DataCentre struct {
	Name string
	Out  bool
}

// Validate reports an invalid name as InvalidCommand.
func (d DataCentre) Validate() error {
	if !class.ValidName(d.Name) {
		return result.New(result.InvalidCommand, "data centre name %q: 1 to %d letters, digits, '-', '_' or '.'", d.Name, class.MaxNameLength)
	}
	return nil
}
