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

// maxAdminResponseBytes limits the response of a router's admin API; a burn
// report of 60,000 rows fits.
const maxAdminResponseBytes = 64 << 20

// adminClient ignores the proxy environment variables.
var adminClient = http.Client{Transport: &http.Transport{}}

func adminURL(address, path string) string {
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}
	return strings.TrimSuffix(address, "/") + path
}

// getRouterJSON decodes the JSON response of one router into target. HTTP status
// 404 returns NotFound, an invalid address a usage error and every other failure
// ControlUnavailable.
func getRouterJSON(ctx context.Context, address, path string, target any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, adminURL(address, path), nil)
	if err != nil {
		return usageErrorf("router address: %v", err)
	}
	response, err := adminClient.Do(request)
	if err != nil {
		return result.Wrap(result.ControlUnavailable, err, "router %s did not respond", address)
	}
	defer response.Body.Close()
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusNotFound:
		return result.New(result.NotFound, "not found at router %s", address)
	default:
		return result.New(result.ControlUnavailable, "router %s responded with %s", address, response.Status)
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxAdminResponseBytes)).Decode(target); err != nil {
		return result.Wrap(result.ControlUnavailable, err, "router %s sent an invalid response", address)
	}
	return nil
}

// routerResponse holds the decoded response of one router, or the error that
// prevented it.
type routerResponse[T any] struct {
	address string
	value   T
	err     error
}

// queryRouters sends the request to all routers concurrently, so that an
// unresponsive router does not delay the others. The results are in the order of
// addresses.
func queryRouters[T any](ctx context.Context, addresses []string, path string) []routerResponse[T] {
	results := make([]routerResponse[T], len(addresses))
	var wg sync.WaitGroup
	for i, address := range addresses {
		wg.Go(func() {
			results[i].address = address
			results[i].err = getRouterJSON(ctx, address, path, &results[i].value)
		})
	}
	wg.Wait()
	return results
}

func (c *CLI) requireRouters() error {
	if len(c.routerAddresses) == 0 {
		return usageErrorf("this command requires --admin with the admin address of at least one router")
	}
	return nil
}

func (c *CLI) addWhyCommand() {
	cmd := c.app.Command("why", "Explain how a request was routed. Each router keeps its last 1,000 requests.")
	id := cmd.Arg("request", "Request id, from the Jackdawtrack-Request-Id response header.").Required().String()
	c.setAction(cmd, func(ctx context.Context) error { return c.explainRequest(ctx, *id) })
}

// explainRequest prints the first routing decision found. If no router has one,
// it returns the last error, preferring failures over NotFound.
func (c *CLI) explainRequest(ctx context.Context, id string) error {
	if err := c.requireRouters(); err != nil {
		return err
	}
	var lastErr error
	for _, response := range queryRouters[router.Decision](ctx, c.routerAddresses, "/v1/admin/requests/"+url.PathEscape(id)) {
		if response.err == nil {
			return c.printDecision(response.value)
		}
		if code, _ := result.CodeOf(response.err); code != result.NotFound || lastErr == nil {
			lastErr = response.err
		}
	}
	return lastErr
}

func (c *CLI) printDecision(decision router.Decision) error {
	if c.outputFormat == "json" {
		return c.printJSON(decision)
	}
	fmt.Fprintf(c.Out, "request %s of workspace %s, class %s, pool %s, at revision %d\n", decision.ID, decision.Workspace, decision.Class, decision.Pool, decision.Catalog)
	fmt.Fprintf(c.Out, "arrived %s, ended after %.1f ms with %d %s, executed %s\n", decision.Arrived.UTC().Format("15:04:05.000"), decision.TotalMS, decision.Code, decision.Result, decision.Executed)
	fmt.Fprintf(c.Out, "%s\n", decision.Explanation)
	if decision.Fingerprint != "" {
		fmt.Fprintf(c.Out, "fingerprint %s, trial of a quarantine %v\n", decision.Fingerprint, decision.Trial)
	}
	t := table{columns: []string{"attempt", "owner", "server", "wait_ms", "sent", "status", "first_token_ms", "bytes", "units", "result"}}
	for i, attempt := range decision.Attempts {
		t.addRow(i+1, attempt.Owner, attempt.Server, attempt.WaitMS, attempt.Sent, attempt.Status, attempt.FirstTokenMS, attempt.Bytes, attempt.CostUnits, attempt.Result)
	}
	return c.print(t)
}
