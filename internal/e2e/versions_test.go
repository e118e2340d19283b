package e2e

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"jackdawtrack.example/jackdawtrack/pkg/settings"
)

// takeUp asks a router for the rest of a stream and returns the result code.
func (f *fleet) takeUp(router settings.Address, path, class, body string) string {
	return f.takeUpWith(f.t.Context(), router, path, class, body)
}

func (f *fleet) takeUpWith(ctx context.Context, router settings.Address, path, class, body string) string {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+string(router)+path, strings.NewReader(body))
	assert.NilError(f.t, err)
	req.Header.Set("Authorization", "Bearer "+sharedKey)
	req.Header.Set("Jackdawtrack-Workspace", "shop")
	req.Header.Set("Jackdawtrack-Class", class)
	req.Header.Set("Last-Event-Id", "7")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err.Error()
	}
	defer resp.Body.Close()
	if _, err = io.Copy(io.Discard, resp.Body); err != nil {
		return err.Error()
	}
	return resp.Header.Get("Jackdawtrack-Result")
}

// Guards against a statement on the versions of a service that routers lose when every
// process is killed: the engines state one version, the plain services none.
func TestTakeUpsAfterKillOfEveryProcess(t *testing.T) {
	t.Parallel()
	f := restartedFleet(t, "service set model --software-versions one", "service set desk --software-versions several")
	engine := func(router settings.Address) string {
		return f.takeUp(router, "/v1/chat/completions", "chat", `{"model":"model","stream":true,"max_tokens":3,"messages":[{"role":"user","content":"a"}]}`)
	}
	service := func(router settings.Address) string { return f.takeUp(router, "/services/desk/x", "status", "{}") }
	await := func(ask func(settings.Address) string, want string) {
		t.Helper()
		for _, router := range f.callerAddresses {
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if got := ask(router); got != want {
					return poll.Continue("router at %s: %s", router, got)
				}
				return poll.Success()
			}, poll.WithTimeout(stateTimeout), poll.WithDelay(100*time.Millisecond))
		}
	}
	for _, router := range f.callerAddresses {
		assert.Equal(t, service(router), "128", "plain service with several versions")
		assert.Assert(t, engine(router) != "128", "engines with one version")
	}
	await(engine, "0")
	f.runCtlUntilSuccess("service", "delete", "desk")
	f.runCtlUntilSuccess("service", "delete", "model")
	await(service, "0")
	await(engine, "128")
}

// Guards against take-ups at a router that stood still while operators replaced their
// statement, and that judges by the one before when it goes on; against take-ups by what
// a router believes while no control host runs; and against refusals of more than 5 of
// 100 with one version, in calm and after the death of a control host.
func TestTakeUpsAtARouterOutOfStep(t *testing.T) {
	t.Parallel()
	const tries = 100
	f := newFleet(t)
	f.runCtlUntilSuccess("service", "set", "model", "--software-versions", "one")
	frozen := f.callerAddresses[0]
	askWith := func(ctx context.Context) string {
		return f.takeUpWith(ctx, frozen, "/v1/chat/completions", "chat", `{"model":"model","stream":true,"max_tokens":3,"messages":[{"role":"user","content":"a"}]}`)
	}
	ask := func() string { return askWith(t.Context()) }
	await := func(want string) {
		t.Helper()
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if got := ask(); got != want {
				return poll.Continue("%s", got)
			}
			return poll.Success()
		}, poll.WithTimeout(stateTimeout), poll.WithDelay(100*time.Millisecond))
	}
	check := func(when string) {
		t.Helper()
		await("0")
		goOn := 0
		for range tries {
			if ask() == "0" {
				goOn++
			}
		}
		assert.Assert(t, 100*goOn >= 95*tries, "%s: %d of %d went on", when, goOn, tries)
		t.Logf("%s: %d of %d went on", when, goOn, tries)
	}
	check("in calm")

	f.routers[0].signal(syscall.SIGSTOP)
	f.runCtlUntilSuccess("service", "set", "model", "--software-versions", "several")
	codes, wrote := make(chan string, 20), make(chan struct{}, 20)
	for range cap(codes) {
		trace := &httptrace.ClientTrace{WroteRequest: func(httptrace.WroteRequestInfo) { wrote <- struct{}{} }}
		go func() { codes <- askWith(httptrace.WithClientTrace(t.Context(), trace)) }()
	}
	for range cap(codes) {
		<-wrote
	}
	f.routers[0].signal(syscall.SIGCONT)
	for range cap(codes) {
		code := <-codes
		assert.Check(t, code == "128" || code == "129", "code %s after a standstill", code)
	}

	f.runCtlUntilSuccess("service", "set", "model", "--software-versions", "one")
	await("0")
	f.controlHosts[0].kill()
	check("after the death of a control host")
	f.controlHosts[1].kill()
	for range 5 {
		assert.Check(t, ask() == "129", "without a majority of the control hosts")
	}
}
