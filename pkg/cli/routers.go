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
	statusPath           = "/v1/admin/status"
	confirmPollInterval  = 100 * time.Millisecond
	confirmPollTimeout   = time.Second // of one poll of all routers
	defaultWatchInterval = 2 * time.Second
)

// printRouterStatus prints one table of the routers and one of the backend
// servers that they own.
func (c *CLI) printRouterStatus(ctx context.Context) error {
	statuses := queryRouters[router.Status](ctx, c.routerAddresses, statusPath)
	if err := c.print(routerTable(statuses)); err != nil {
		return err
	}
	return c.print(serverTable(statuses))
}

func routerTable(statuses []routerResponse[router.Status]) table {
	t := table{columns: []string{"router", "data_centre", "ready", "out", "revision", "open", "waiting", "running", "error"}}
	for _, response := range statuses {
		if response.err != nil {
			t.addRow(response.address, "", false, false, 0, 0, 0, 0, response.err.Error())
			continue
		}
		s := response.value
		t.addRow(s.Name, s.DataCentre, s.Ready, s.DataCentreOut, s.Revision, s.Open, s.Waiting, s.Running, "")
	}
	return t
}

// serverTable lists every backend server once, as reported by the owner of its
// shard: only the owner knows the server's limit.
func serverTable(statuses []routerResponse[router.Status]) table {
	t := table{columns: []string{"server", "pool", "state", "owner", "limit", "full_limit", "cold", "in_flight", "request_limit", "queue", "floor"}}
	for _, response := range statuses {
		for _, shard := range response.value.Shards {
			floor := "-"
			if shard.Waiting > 0 {
				floor = fmt.Sprint(shard.Floor)
			}
			for _, server := range shard.Servers {
				var requestLimit any = "-"
				if server.RequestLimit != nil {
					requestLimit = *server.RequestLimit // requests a second
				}
				t.addRow(server.Name, shard.Shard.Pool, server.State, response.value.Name, server.Limit, server.Full, server.Cold, server.InFlight, requestLimit, shard.Waiting, floor)
			}
		}
	}
	return t
}

func (c *CLI) addWatchCommand() {
	cmd := c.app.Command("watch", "Print the status of the routers repeatedly.")
	interval := cmd.Flag("every", "Interval between two updates.").Default(defaultWatchInterval.String()).Duration()
	count := cmd.Flag("count", "Number of updates; 0 continues until interrupted.").Int()
	cmd.Action(func(*kingpin.ParseContext) error { return c.watchRouters(*interval, *count) })
}

func (c *CLI) watchRouters(interval time.Duration, count int) error {
	if err := c.requireRouters(); err != nil {
		return err
	}
	for n := 1; ; n++ {
		ctx, cancel := context.WithTimeout(c.ctx, c.timeout)
		fmt.Fprintf(c.Out, "-- %s\n", time.Now().UTC().Format(time.RFC3339))
		err := c.printRouterStatus(ctx)
		cancel()
		if err != nil || n == count {
			return err
		}
		select {
		case <-c.ctx.Done():
			return nil
		case <-time.After(interval):
		}
	}
}

// waitForRevision waits until every router of --admin has applied the revision
// that this command created. On timeout it returns ControlUnavailable with the
// addresses of the routers that have not.
func (c *CLI) waitForRevision(ctx context.Context) error {
	unconfirmed := c.routerAddresses
	for {
		// A poll interrupted by the timeout does not show which routers lag.
		if behind := c.routersBehind(ctx); ctx.Err() == nil {
			unconfirmed = behind
		}
		if len(unconfirmed) == 0 {
			break
		}
		select {
		case <-ctx.Done():
			return result.New(result.ControlUnavailable, "revision %d was accepted but not confirmed by %s: the data centre may be partitioned",
				c.appliedRevision, strings.Join(unconfirmed, ", "))
		case <-time.After(confirmPollInterval):
		}
	}
	if c.outputFormat == "table" {
		fmt.Fprintf(c.Out, "in force at %d of %d routers\n", len(c.routerAddresses), len(c.routerAddresses))
	}
	return nil
}

// routersBehind returns the addresses of the routers that have not applied the
// revision or do not respond within confirmPollTimeout, such as those of a
// partitioned data centre.
func (c *CLI) routersBehind(ctx context.Context) []string {
	pollCtx, cancel := context.WithTimeout(ctx, confirmPollTimeout)
	defer cancel()
	var addresses []string
	for _, response := range queryRouters[router.Status](pollCtx, c.routerAddresses, statusPath) {
		if response.err != nil || response.value.Revision < c.appliedRevision {
			addresses = append(addresses, response.address)
		}
	}
	return addresses
}
