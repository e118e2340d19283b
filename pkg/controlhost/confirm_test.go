package controlhost

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jackdawtrack.example/jackdawtrack/pkg/catalog"
	"jackdawtrack.example/jackdawtrack/pkg/result"
)

// Guards against a configuration that counts as confirmed although a newer one is
// committed, or although no majority can be asked, and against a death of one host that
// ends confirmations.
func TestConfirmedConfigurationHasWhatWasCommitted(t *testing.T) {
	c := startCluster(t)
	ctx := testContext(t)
	client, operator, store := c.client("r1"), c.client(""), catalog.NewStore()
	assert.NilError(t, client.Confirm(ctx, store))
	revision := store.Revision()
	commit := func(id string) {
		t.Helper()
		out, err := operator.Submit(ctx, dataCentreSubmitRequest(id, revision, revision%2 == 0))
		assert.NilError(t, err)
		assert.Equal(t, out.GetCode(), uint32(0), out.GetMessage())
		revision = out.GetRevision()
		assert.NilError(t, client.Confirm(ctx, store))
		assert.Equal(t, store.Revision(), revision, "behind what was committed")
	}
	commit("c1")
	assert.NilError(t, client.Confirm(ctx, store), "nothing new")
	c.kill(1)
	commit("c2")
	c.kill(2)
	short, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	err := client.Confirm(short, store)
	code, _ := result.CodeOf(err)
	assert.Equal(t, code, result.ControlUnavailable, "%v", err)
	assert.Equal(t, store.Revision(), revision)
}
