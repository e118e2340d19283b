package e2e

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"jackdawtrack.example/jackdawtrack/pkg/settings"
)

// takeUp asks a router for the rest of a stream and returns the result code.
func (f *fleet) takeUp(router settings.Address, path, class, body string) string {
	req, err := http.NewRequestWithContext(f.t.Context(), http.MethodPost, "http://"+string(router)+path, strings.NewReader(body))
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
