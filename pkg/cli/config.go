package cli

import (
	"context"

	"github.com/alecthomas/kingpin/v2"

	"jackdawtrack.example/jackdawtrack/pkg/catalog"
	"jackdawtrack.example/jackdawtrack/pkg/class"
	"jackdawtrack.example/jackdawtrack/pkg/result"
)

var classColumns = []string{
	"name", "first_token", "token_interval", "answer", "may_wait", "max_wait",
	"may_run_twice", "progress_timeout", "max_duration", "objective",
}

func classRow(c class.Class) []any {
	return []any{
		c.Name, c.FirstToken, c.TokenInterval, c.Answer, c.MayWait, c.MaxWait,
		c.MayRunTwice, c.ProgressTimeout, c.MaxDuration, c.Objective,
	}
}

func (c *CLI) addClassCommands() {
	parent := c.app.Command("class", "Request classes with their latency targets.")
	c.addClassSetCommand(parent.Command("set", "Create or replace a class. Omitted flags get their defaults."))
	get := parent.Command("get", "Show a class.")
	name := get.Arg("name", "Class.").Required().String()
	c.setAction(get, func(ctx context.Context) error { return c.printClasses(ctx, *name) })
	c.setAction(parent.Command("list", "List all classes."), func(ctx context.Context) error { return c.printClasses(ctx, "") })
	del := parent.Command("delete", "Delete a class.")
	deleted := del.Arg("name", "Class.").Required().String()
	c.setAction(del, func(ctx context.Context) error {
		return c.submitDeletion(ctx, catalog.ClassChange(class.Class{Name: *deleted}))
	})
}

func (c *CLI) addClassSetCommand(cmd *kingpin.CmdClause) {
	v := &class.Class{}
	cmd.Arg("name", "Class.").Required().StringVar(&v.Name)
	cmd.Flag("first-token", "Target from arrival to first token, for example 340ms.").DurationVar(&v.FirstToken)
	cmd.Flag("token-interval", "Target between tokens, for example 32ms.").DurationVar(&v.TokenInterval)
	cmd.Flag("answer", "Target from arrival to the complete response of a plain service.").DurationVar(&v.Answer)
	cmd.Flag("may-wait", "Requests may wait in the queue.").BoolVar(&v.MayWait)
	cmd.Flag("max-wait", "Maximum time in the queue.").DurationVar(&v.MaxWait)
	cmd.Flag("may-run-twice", "Requests may be retried and so run more than once.").BoolVar(&v.MayRunTwice)
	cmd.Flag("progress-timeout", "Maximum time without progress of a running response.").DurationVar(&v.ProgressTimeout)
	cmd.Flag("max-duration", "Maximum execution time.").DurationVar(&v.MaxDuration)
	cmd.Flag("objective", "Share of requests that must meet the target, for example 0.95.").Float64Var(&v.Objective)
	c.setAction(cmd, func(ctx context.Context) error { return c.submit(ctx, 0, nil, catalog.ClassChange(*v)) })
}

// printClasses prints the named class, or all classes if name is empty. It
// returns NotFound if the class does not exist.
func (c *CLI) printClasses(ctx context.Context, name string) error {
	snapshot, err := c.readCatalog(ctx)
	if err != nil {
		return err
	}
	t := table{columns: classColumns}
	for _, v := range snapshot.Classes() {
		if name == "" || v.Name == name {
			t.addRow(classRow(v)...)
		}
	}
	if name != "" && len(t.rows) == 0 {
		return result.New(result.NotFound, "class %s does not exist", name)
	}
	return c.print(t)
}

func (c *CLI) addServerCommands() {
	parent := c.app.Command("server", "Backend servers that operators have taken out of service.")
	depart := parent.Command("depart", "Send a backend server no new requests.")
	departed := depart.Arg("name", "Backend server.").Required().String()
	c.setAction(depart, func(ctx context.Context) error { return c.submit(ctx, 0, nil, catalog.DepartureChange(*departed)) })
	returnCmd := parent.Command("return", "Send a departed backend server requests again.")
	returned := returnCmd.Arg("name", "Backend server.").Required().String()
	c.setAction(returnCmd, func(ctx context.Context) error { return c.submitDeletion(ctx, catalog.DepartureChange(*returned)) })
	c.setAction(parent.Command("list", "List departed backend servers."), func(ctx context.Context) error {
		snapshot, err := c.readCatalog(ctx)
		if err != nil {
			return err
		}
		t := table{columns: []string{"name"}}
		for _, name := range snapshot.Departures() {
			t.addRow(name)
		}
		return c.print(t)
	})
}
