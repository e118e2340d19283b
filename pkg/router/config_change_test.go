package router

import (
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/pkg/backend"
	"jackdawtrack.example/jackdawtrack/pkg/catalog"
	"jackdawtrack.example/jackdawtrack/pkg/datacentre"
	"jackdawtrack.example/jackdawtrack/pkg/settings"
	"jackdawtrack.example/jackdawtrack/pkg/standin"
	"jackdawtrack.example/jackdawtrack/pkg/workspace"
)

// Guards against a request that gets neither an answer nor a refusal because a change of the
// configuration removes its class, its workspace or the key of its server, or takes its data
// centre out, while it waits or runs.
func TestConfigurationChangeAnswersOpenRequests(t *testing.T) {
	t.Parallel()
	without := func(drop ...int) []*apiv1.Change {
		all := configuration()
		var out []*apiv1.Change
		for i, c := range all {
			if !slices.Contains(drop, i) {
				out = append(out, c)
			}
		}
		return out
	}
	for name, changes := range map[string][]*apiv1.Change{
		"the classes are removed":      without(0, 1, 2),
		"the workspaces are removed":   without(3, 4),
		"the key is replaced":          append(without(3), catalog.WorkspaceChange(workspace.Workspace{Name: "w", KeyHashes: [][]byte{workspace.HashKey("other")}})),
		"the credential is removed":    without(5),
		"the data centre is out":       append(without(), catalog.DataCentreChange(datacentre.DataCentre{Name: "north", Out: true})),
		"the whole catalog is emptied": nil,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			tr := newTestRouter(t, nil)
			tr.startStandin(t, standin.ServerSettings{Name: "s1", Kind: backend.Engine, Pool: "p", TokenInterval: settings.Duration(20 * time.Millisecond)})
			const requests = 60
			type answer struct {
				status int
				body   string
			}
			answers := make(chan answer, requests)
			for range requests {
				go func() {
					resp, body := tryDo(tr.request(t, http.MethodPost, chatPath, "chat", chatBody(100)))
					if resp == nil {
						answers <- answer{0, body}
						return
					}
					answers <- answer{resp.StatusCode, body}
				}()
			}
			tr.waitFor(t, "requests run and wait", func() bool {
				waiting, held := tr.router.askTable.counts()
				return held > 0 && waiting > 0 && waiting+held == requests
			})
			tr.store.ApplySnapshot(2, changes)
			whole := 0
			for range requests {
				a := <-answers
				switch {
				case a.status == http.StatusOK && !strings.Contains(a.body, "event: error"):
					whole++
				case a.status < http.StatusBadRequest:
					t.Errorf("no answer and no refusal: status %d, body %q", a.status, a.body)
				}
			}
			assert.Assert(t, whole > 0, "no request is whole")
			t.Logf("%d of %d are whole", whole, requests)
		})
	}
}
