package cli

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"

	"jackdawtrack.example/jackdawtrack/pkg/quarantine"
	"jackdawtrack.example/jackdawtrack/pkg/result"
)

const (
	quarantinePath          = "/v1/admin/quarantine"
	maxReleaseResponseBytes = 4 << 10
)

func (c *CLI) addQuarantineCommands() {
	parent := c.app.Command("quarantine", "Requests that crash backend servers, at the routers named by --admin.")
	c.setAction(parent.Command("list", "List the verdicts of each router."), c.printQuarantine)
	cmd := parent.Command("release", "End a quarantine in the whole fleet.")
	suspect := cmd.Arg("suspect", "Suspect in hexadecimal, from the list or a log line.").Required().String()
	c.setAction(cmd, func(ctx context.Context) error { return c.releaseSuspect(ctx, *suspect) })
}

// printQuarantine prints the verdicts of each router. It fails if a router does not
// respond.
func (c *CLI) printQuarantine(ctx context.Context) error {
	if err := c.requireRouters(); err != nil {
		return err
	}
	t := table{columns: []string{"router", "kind", "suspect", "request", "state", "age_ms", "trial_in_ms", "losses", "hosts", "refusals", "refused_ms"}}
	var failed error
	for _, response := range queryRouters[[]quarantine.Status](ctx, c.routerAddresses, quarantinePath) {
		if response.err != nil {
			failed = response.err
			continue
		}
		for _, s := range response.value {
			t.addRow(response.address, s.Kind, s.Suspect, s.Request, s.State, s.AgeMS, s.TrialInMS, s.Losses, s.Hosts, s.Refusals, s.RefusedMS)
		}
	}
	if err := c.print(t); err != nil {
		return err
	}
	return failed
}

// releaseSuspect releases a suspect at the first router that has it in quarantine.
// That router tells the others.
func (c *CLI) releaseSuspect(ctx context.Context, suspect string) error {
	if err := c.requireRouters(); err != nil {
		return err
	}
	operator, key, err := c.operatorCredential()
	if err != nil {
		return err
	}
	for _, address := range c.routerAddresses {
		if err = releaseAt(ctx, address, suspect, operator, key); err == nil {
			t := table{columns: []string{"released", "router"}}
			t.addRow(suspect, address)
			return c.print(t)
		}
		if code, ok := result.CodeOf(err); !ok || code != result.NotFound && code != result.ControlUnavailable {
			return err
		}
	}
	return err
}

// releaseAt releases a suspect at one router. It returns the refusal of the router,
// or ControlUnavailable without a valid response.
func releaseAt(ctx context.Context, address, suspect, operator, key string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodDelete, adminURL(address, quarantinePath+"/"+url.PathEscape(suspect)), nil)
	if err != nil {
		return usageErrorf("router address: %v", err)
	}
	request.Header.Set(headerOperator, operator)
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := adminClient.Do(request)
	if err != nil {
		return result.Wrap(result.ControlUnavailable, err, "router %s did not respond", address)
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusOK {
		return nil
	}
	var body struct {
		Code    uint32 `json:"code"`
		Message string `json:"message"`
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxReleaseResponseBytes)).Decode(&body); err != nil {
		return result.Wrap(result.ControlUnavailable, err, "router %s responded with %s but without a result", address, response.Status)
	}
	return result.New(result.Code(body.Code), "%s", body.Message)
}
