package cli

import (
	"context"

	"jackdawtrack.example/jackdawtrack/pkg/catalog"
	"jackdawtrack.example/jackdawtrack/pkg/release"
)

func (c *CLI) addServiceCommands() {
	parent := c.app.Command("service", "What operators state of services.")
	set := parent.Command("set", "State whether the servers of a service may differ in software version.")
	name := set.Arg("name", "Pool of the service.").Required().String()
	versions := set.Flag("software-versions", "one: the servers never differ; several: they may.").
		Required().Enum(release.One.String(), release.Several.String())
	c.setAction(set, func(ctx context.Context) error {
		s := catalog.Service{Name: *name, Versions: release.Several}
		if *versions == release.One.String() {
			s.Versions = release.One
		}
		return c.submit(ctx, 0, nil, catalog.ServiceChange(s))
	})
	c.setAction(parent.Command("list", "List the services of which something is stated."), func(ctx context.Context) error {
		snapshot, err := c.readCatalog(ctx)
		if err != nil {
			return err
		}
		t := table{columns: []string{"name", "software_versions"}}
		for _, s := range snapshot.Services() {
			t.addRow(s.Name, s.Versions)
		}
		return c.print(t)
	})
	del := parent.Command("delete", "Take back what is stated of a service.")
	deleted := del.Arg("name", "Pool of the service.").Required().String()
	c.setAction(del, func(ctx context.Context) error {
		return c.submitDeletion(ctx, catalog.ServiceChange(catalog.Service{Name: *deleted}))
	})
}
