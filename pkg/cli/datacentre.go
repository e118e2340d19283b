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
	headerOperator = "Jackdawtrack-Operator"
	maxAnswerBytes = 64 << 10
)

func (c *CLI) addDataCentre() {
	parent := c.app.Command("datacentre", "Data centres that operators take out of service.")
	for _, state := range []string{"out", "in"} {
		cmd := parent.Command(state, fmt.Sprintf("Take a data centre %s.", state))
		name := cmd.Arg("name", "Data centre.").Required().String()
		router := cmd.Flag("router", "Admin address of a router of a partitioned data centre; the command goes there instead of to control.").String()
		c.action(cmd, func(ctx context.Context) error { return c.moveDataCentre(ctx, *name, state, *router) })
	}
	c.action(parent.Command("list", "List the data centres that operators have named."), func(ctx context.Context) error {
		now, err := c.read(ctx)
		if err != nil {
			return err
		}
		t := table{columns: []string{"name", "out"}}
		for _, d := range now.DataCentres() {
			t.add(d.Name, d.Out)
		}
		return c.print(t)
	})
}

func (c *CLI) moveDataCentre(ctx context.Context, name, state, router string) error {
	d := datacentre.DataCentre{Name: name, Out: state == "out"}
	if err := d.Validate(); err != nil {
		return usage("%v", err)
	}
	if router != "" {
		return c.markAtRouter(ctx, name, state, router)
	}
	err := c.submit(ctx, 0, nil, catalog.DataCentreChange(d))
	if err == nil && len(c.routers) > 0 {
		err = c.confirm(ctx)
	} else if err == nil && c.output == "table" {
		fmt.Fprintf(c.Out, "Routers that reach control apply it within 3 s; name them with --admin to see it confirmed.\n")
		c.hintRouter(c.Out, name, state)
	}
	if code, _ := result.CodeOf(err); code == result.NoQuorum || code == result.ControlUnavailable {
		c.hintRouter(c.Err, name, state)
	}
	return err
}

// hintRouter tells how to reach a data centre that control cannot reach.
func (c *CLI) hintRouter(w io.Writer, name, state string) {
	fmt.Fprintf(w, "If %s is cut off from control, give the command to any router there:\n  jackdawctl --operator %s --key-file %s datacentre %s %s --router ADMIN-ADDRESS\n",
		name, c.operator, c.keyFile, state, name)
}

// markAtRouter gives the command to one router, which spreads it in its data
// centre until a newer configuration arrives.
func (c *CLI) markAtRouter(ctx context.Context, name, state, router string) error {
	operator, key, err := c.credential()
	if err != nil {
		return err
	}
	if !strings.Contains(router, "://") {
		router = "http://" + router
	}
	target := fmt.Sprintf("%s/v1/admin/datacentre/%s/%s", strings.TrimSuffix(router, "/"), url.PathEscape(name), state)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, target, nil)
	if err != nil {
		return usage("router: %v", err)
	}
	request.Header.Set(headerOperator, operator)
	request.Header.Set("Authorization", "Bearer "+key)
	client := http.Client{Transport: &http.Transport{}} // no proxy of the environment
	answer, err := client.Do(request)
	if err != nil {
		return result.Wrap(result.ControlUnavailable, err, "the router does not answer")
	}
	defer answer.Body.Close()
	return c.routerAnswer(answer)
}

func (c *CLI) routerAnswer(answer *http.Response) error {
	var body struct {
		Code           uint32 `json:"code"`
		Message        string `json:"message"`
		RoutersReached int    `json:"routers_reached"`
	}
	if err := json.NewDecoder(io.LimitReader(answer.Body, maxAnswerBytes)).Decode(&body); err != nil {
		return result.Wrap(result.ControlUnavailable, err, "the router answered %s without a result", answer.Status)
	}
	if answer.StatusCode != http.StatusOK {
		return result.New(result.Code(body.Code), "%s", body.Message)
	}
	t := table{columns: []string{"marked", "routers_reached"}}
	t.add(true, body.RoutersReached)
	return c.print(t)
}
