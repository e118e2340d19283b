package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/pkg/catalog"
	"jackdawtrack.example/jackdawtrack/pkg/datacentre"
	"jackdawtrack.example/jackdawtrack/pkg/result"
)

type catalogChange = *apiv1.Change

const (
	headerOperator       = "Jackdawtrack-Operator"
	maxMarkResponseBytes = 64 << 10
)

func (c *CLI) addDataCentreCommands() {
	parent := c.app.Command("datacentre", "Data centres that operators have taken out of service or returned.")
	for _, state := range []string{"out", "in"} {
		cmd := parent.Command(state, fmt.Sprintf("Mark a data centre as %s.", state))
		name := cmd.Arg("name", "Data centre.").Required().String()
		router := cmd.Flag("router", "Admin address of a router in a partitioned data centre; the command is sent to it instead of to control.").String()
		c.setAction(cmd, func(ctx context.Context) error { return c.setDataCentreState(ctx, *name, state, *router) })
	}
	c.setAction(parent.Command("list", "List the data centres that operators have marked."), func(ctx context.Context) error {
		snapshot, err := c.readCatalog(ctx)
		if err != nil {
			return err
		}
		t := table{columns: []string{"name", "out"}}
		for _, d := range snapshot.DataCentres() {
			t.addRow(d.Name, d.Out)
		}
		return c.print(t)
	})
}

// setDataCentreState marks a data centre as out or in, through control or, if
// router is not empty, at that router.
func (c *CLI) setDataCentreState(ctx context.Context, name, state, router string) error {
	d := datacentre.DataCentre{Name: name, Out: state == "out"}
	if err := d.Validate(); err != nil {
		return usageErrorf("%v", err)
	}
	if router != "" {
		return c.setDataCentreStateAtRouter(ctx, name, state, router)
	}
	err := c.submit(ctx, 0, nil, catalog.DataCentreChange(d))
	if err == nil && len(c.routerAddresses) > 0 {
		err = c.waitForRevision(ctx)
	} else if err == nil && c.outputFormat == "table" {
		fmt.Fprintf(c.Out, "Routers that reach control apply it within 3 s; name them with --admin to wait for confirmation.\n")
		c.printRouterHint(c.Out, name, state)
	}
	if code, _ := result.CodeOf(err); code == result.NoQuorum || code == result.ControlUnavailable {
		c.printRouterHint(c.Err, name, state)
	}
	return err
}

// printRouterHint prints the command that marks a data centre which is
// partitioned from control.
func (c *CLI) printRouterHint(w io.Writer, name, state string) {
	fmt.Fprintf(w, "If %s is partitioned from control, send the command to any router there:\n  jackdawctl --operator %s --key-file %s datacentre %s %s --router ADMIN-ADDRESS\n",
		name, c.operatorName, c.keyFile, state, name)
}

// setDataCentreStateAtRouter sends the command to one router, which propagates
// it in its data centre. It holds until a newer configuration arrives.
func (c *CLI) setDataCentreStateAtRouter(ctx context.Context, name, state, router string) error {
	operator, key, err := c.operatorCredential()
	if err != nil {
		return err
	}
	if !strings.Contains(router, "://") {
		router = "http://" + router
	}
	target := fmt.Sprintf("%s/v1/admin/datacentre/%s/%s", strings.TrimSuffix(router, "/"), url.PathEscape(name), state)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, target, nil)
	if err != nil {
		return usageErrorf("router address: %v", err)
	}
	request.Header.Set(headerOperator, operator)
	request.Header.Set("Authorization", "Bearer "+key)
	client := http.Client{Transport: &http.Transport{}} // ignores the proxy environment variables
	response, err := client.Do(request)
	if err != nil {
		return result.Wrap(result.ControlUnavailable, err, "the router did not respond")
	}
	defer response.Body.Close()
	return c.printMarkResponse(response)
}

func (c *CLI) printMarkResponse(response *http.Response) error {
	var body struct {
		Code           uint32 `json:"code"`
		Message        string `json:"message"`
		RoutersReached int    `json:"routers_reached"`
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxMarkResponseBytes)).Decode(&body); err != nil {
		return result.Wrap(result.ControlUnavailable, err, "the router responded with %s but without a result", response.Status)
	}
	if response.StatusCode != http.StatusOK {
		return result.New(result.Code(body.Code), "%s", body.Message)
	}
	t := table{columns: []string{"marked", "routers_reached"}}
	t.addRow(true, body.RoutersReached)
	return c.print(t)
}
