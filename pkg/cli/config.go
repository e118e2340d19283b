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

func classRow(v class.Class) []any {
	return []any{
		v.Name, v.FirstToken, v.TokenInterval, v.Answer, v.MayWait, v.MaxWait,
		v.MayRunTwice, v.ProgressTimeout, v.MaxDuration, v.Objective,
	}
}

func (c *CLI) addClass() {
	parent := c.app.Command("class", "Targets of a kind of work.")
	c.addClassSet(parent.Command("set", "Create or replace a class. Flags that are left out get their defaults."))
	get := parent.Command("get", "Show a class.")
	name := get.Arg("name", "Class.").Required().String()
	c.action(get, func(ctx context.Context) error { return c.classes(ctx, *name) })
	c.action(parent.Command("list", "List all classes."), func(ctx context.Context) error { return c.classes(ctx, "") })
	del := parent.Command("delete", "Delete a class.")
	deleted := del.Arg("name", "Class.").Required().String()
	c.action(del, func(ctx context.Context) error {
		return c.remove(ctx, catalog.ClassChange(class.Class{Name: *deleted}))
	})
}

func (c *CLI) addClassSet(cmd *kingpin.CmdClause) {
	v := &class.Class{}
	cmd.Arg("name", "Class.").Required().StringVar(&v.Name)
	cmd.Flag("first-token", "Target from arrival to first token, for example 340ms.").DurationVar(&v.FirstToken)
	cmd.Flag("token-interval", "Target between tokens, for example 32ms.").DurationVar(&v.TokenInterval)
	cmd.Flag("answer", "Target from arrival to the whole answer of a plain service.").DurationVar(&v.Answer)
	cmd.Flag("may-wait", "Requests may wait in the queue.").BoolVar(&v.MayWait)
	cmd.Flag("max-wait", "Longest wait in the queue.").DurationVar(&v.MaxWait)
	cmd.Flag("may-run-twice", "Requests may be sent again.").BoolVar(&v.MayRunTwice)
	cmd.Flag("progress-timeout", "Longest silence of a running answer.").DurationVar(&v.ProgressTimeout)
	cmd.Flag("max-duration", "Longest running time.").DurationVar(&v.MaxDuration)
	cmd.Flag("objective", "Share of requests that must meet the target, for example 0.95.").Float64Var(&v.Objective)
	c.action(cmd, func(ctx context.Context) error { return c.submit(ctx, 0, nil, catalog.ClassChange(*v)) })
}

// classes prints one class, or all if the name is "".
func (c *CLI) classes(ctx context.Context, name string) error {
	now, err := c.read(ctx)
	if err != nil {
		return err
	}
	t := table{columns: classColumns}
	for _, v := range now.Classes() {
		if name == "" || v.Name == name {
			t.add(classRow(v)...)
		}
	}
	if name != "" && len(t.rows) == 0 {
		return result.New(result.NotFound, "class %s does not exist", name)
	}
	return c.print(t)
}

func (c *CLI) addServer() {
	parent := c.app.Command("server", "Backend servers that operators take away.")
	depart := parent.Command("depart", "Give a backend server no new work.")
	departed := depart.Arg("name", "Backend server.").Required().String()
	c.action(depart, func(ctx context.Context) error { return c.submit(ctx, 0, nil, catalog.DepartureChange(*departed)) })
	back := parent.Command("return", "Give a departed backend server work again.")
	returned := back.Arg("name", "Backend server.").Required().String()
	c.action(back, func(ctx context.Context) error { return c.remove(ctx, catalog.DepartureChange(*returned)) })
	c.action(parent.Command("list", "List departed backend servers."), func(ctx context.Context) error {
		now, err := c.read(ctx)
		if err != nil {
			return err
		}
		t := table{columns: []string{"name"}}
		for _, name := range now.Departures() {
			t.add(name)
		}
		return c.print(t)
	})
}
