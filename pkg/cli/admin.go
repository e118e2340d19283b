package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"sync"

	"jackdawtrack.example/jackdawtrack/pkg/result"
	"jackdawtrack.example/jackdawtrack/pkg/router"
)

// maxReportBytes bounds the answer of a router: a burn report of 60,000 rows.
const maxReportBytes = 64 << 20

// adminClient ignores the proxy settings of the environment.
var adminClient = http.Client{Transport: &http.Transport{}}

func adminURL(address, path string) string {
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}
	return strings.TrimSuffix(address, "/") + path
}

// fetch reads a JSON answer of one router. NotFound is returned as such, every
// other failure as ControlUnavailable.
func fetch(ctx context.Context, address, path string, into any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, adminURL(address, path), nil)
	if err != nil {
		return usage("router: %v", err)
	}
	answer, err := adminClient.Do(request)
	if err != nil {
		return result.Wrap(result.ControlUnavailable, err, "router %s does not answer", address)
	}
	defer answer.Body.Close()
	switch answer.StatusCode {
	case http.StatusOK:
	case http.StatusNotFound:
		return result.New(result.NotFound, "router %s does not know it", address)
	default:
		return result.New(result.ControlUnavailable, "router %s answered %s", address, answer.Status)
	}
	if err := json.NewDecoder(io.LimitReader(answer.Body, maxReportBytes)).Decode(into); err != nil {
		return result.Wrap(result.ControlUnavailable, err, "router %s sent no valid answer", address)
	}
	return nil
}

// fetched is the answer of one router, or the reason why there is none.
type fetched[T any] struct {
	address string
	value   T
	err     error
}

// fetchAll asks all routers at the same time, so that one that does not answer
// delays the others by nothing.
func fetchAll[T any](ctx context.Context, addresses []string, path string) []fetched[T] {
	out := make([]fetched[T], len(addresses))
	var wait sync.WaitGroup
	for i, address := range addresses {
		wait.Go(func() {
			out[i].address = address
			out[i].err = fetch(ctx, address, path, &out[i].value)
		})
	}
	wait.Wait()
	return out
}

func (c *CLI) needRouters() error {
	if len(c.routers) == 0 {
		return usage("this command needs --admin with the admin address of at least one router")
	}
	return nil
}

func (c *CLI) addWhy() {
	cmd := c.app.Command("why", "Explain how a request was routed, from the last 1,000 of each router.")
	id := cmd.Arg("request", "Request id, from the Jackdawtrack-Request-Id header of the answer.").Required().String()
	c.action(cmd, func(ctx context.Context) error { return c.why(ctx, *id) })
}

func (c *CLI) why(ctx context.Context, id string) error {
	if err := c.needRouters(); err != nil {
		return err
	}
	var last error
	for _, f := range fetchAll[router.Decision](ctx, c.routers, "/v1/admin/requests/"+url.PathEscape(id)) {
		if f.err == nil {
			return c.explain(f.value)
		}
		if code, _ := result.CodeOf(f.err); code != result.NotFound || last == nil {
			last = f.err
		}
	}
	return last
}

func (c *CLI) explain(d router.Decision) error {
	if c.output == "json" {
		return c.printJSON(d)
	}
	fmt.Fprintf(c.Out, "request %s of workspace %s, class %s, pool %s, at revision %d\n", d.ID, d.Workspace, d.Class, d.Pool, d.Catalog)
	fmt.Fprintf(c.Out, "arrived %s, ended after %.1f ms with %d %s, executed %s\n", d.Arrived.UTC().Format("15:04:05.000"), d.TotalMS, d.Code, d.Result, d.Executed)
	fmt.Fprintf(c.Out, "%s\n", d.Explanation)
	t := table{columns: []string{"attempt", "owner", "server", "wait_ms", "sent", "status", "first_token_ms", "bytes", "units", "result"}}
	for i, a := range d.Attempts {
		t.add(i+1, a.Owner, a.Server, a.WaitMS, a.Sent, a.Status, a.FirstTokenMS, a.Bytes, a.CostUnits, a.Result)
	}
	return c.print(t)
}
