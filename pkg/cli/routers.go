package cli

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"jackdawtrack.example/jackdawtrack/pkg/result"
	"jackdawtrack.example/jackdawtrack/pkg/router"
)

const (
	statusPath     = "/v1/admin/status"
	confirmPause   = 100 * time.Millisecond
	confirmLimit   = time.Second
	defaultRefresh = 2 * time.Second
)

// fleetStatus prints what the routers see: themselves and the servers that
// they own.
func (c *CLI) fleetStatus(ctx context.Context) error {
	states := fetchAll[router.Status](ctx, c.routers, statusPath)
	if err := c.print(routerTable(states)); err != nil {
		return err
	}
	return c.print(serverTable(states))
}

func routerTable(states []fetched[router.Status]) table {
	t := table{columns: []string{"router", "data_centre", "ready", "out", "revision", "open", "waiting", "running", "error"}}
	for _, f := range states {
		if f.err != nil {
			t.add(f.address, "", false, false, 0, 0, 0, 0, f.err.Error())
			continue
		}
		s := f.value
		t.add(s.Name, s.DataCentre, s.Ready, s.DataCentreOut, s.Revision, s.Open, s.Waiting, s.Running, "")
	}
	return t
}

// serverTable lists the servers of owned shards, once each: only the owner of
// a server knows its limit.
func serverTable(states []fetched[router.Status]) table {
	t := table{columns: []string{"server", "pool", "state", "owner", "limit", "full_limit", "cold", "in_flight", "queue", "floor"}}
	for _, f := range states {
		for _, shard := range f.value.Shards {
			floor := "-"
			if shard.Waiting > 0 {
				floor = fmt.Sprint(shard.Floor)
			}
			for _, v := range shard.Servers {
				t.add(v.Name, shard.Shard.Pool, v.State, f.value.Name, v.Limit, v.Full, v.Cold, v.InFlight, shard.Waiting, floor)
			}
		}
	}
	return t
}

func (c *CLI) addWatch() {
	cmd := c.app.Command("watch", "Print the status of the routers again and again.")
	every := cmd.Flag("every", "Pause between two prints.").Default(defaultRefresh.String()).Duration()
	count := cmd.Flag("count", "Number of prints; 0 goes on until interrupted.").Int()
	cmd.Action(func(*kingpin.ParseContext) error { return c.watch(*every, *count) })
}

func (c *CLI) watch(every time.Duration, count int) error {
	if err := c.needRouters(); err != nil {
		return err
	}
	for n := 1; ; n++ {
		ctx, cancel := context.WithTimeout(c.ctx, c.timeout)
		fmt.Fprintf(c.Out, "-- %s\n", time.Now().UTC().Format(time.RFC3339))
		err := c.fleetStatus(ctx)
		cancel()
		if err != nil || n == count {
			return err
		}
		select {
		case <-c.ctx.Done():
			return nil
		case <-time.After(every):
		}
	}
}

// confirm waits until every router that was named holds the revision that this
// command made. The error names those that do not before the timeout.
func (c *CLI) confirm(ctx context.Context) error {
	missing := c.routers
	for {
		// A round that the timeout cut short says nothing about the routers.
		if now := c.behind(ctx); ctx.Err() == nil {
			missing = now
		}
		if len(missing) == 0 {
			break
		}
		select {
		case <-ctx.Done():
			return result.New(result.ControlUnavailable, "revision %d is accepted but not confirmed by %s: the data centre can be cut off",
				c.made, strings.Join(missing, ", "))
		case <-time.After(confirmPause):
		}
	}
	if c.output == "table" {
		fmt.Fprintf(c.Out, "in force at %d of %d routers\n", len(c.routers), len(c.routers))
	}
	return nil
}

// behind returns the routers that do not hold the revision or do not answer
// within confirmLimit, as those of a data centre that is cut off.
func (c *CLI) behind(ctx context.Context) []string {
	limited, cancel := context.WithTimeout(ctx, confirmLimit)
	defer cancel()
	var out []string
	for _, f := range fetchAll[router.Status](limited, c.routers, statusPath) {
		if f.err != nil || f.value.Revision < c.made {
			out = append(out, f.address)
		}
	}
	return out
}
