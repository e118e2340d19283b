package cli

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"jackdawtrack.example/jackdawtrack/pkg/pool"
	"jackdawtrack.example/jackdawtrack/pkg/router"
)

// Guards against a limit of a server that operators do not see, or see as one of 0 where the
// server has stated none.
func TestServerTableShowsRequestLimits(t *testing.T) {
	limit := 2.5
	table := serverTable([]routerResponse[router.Status]{{value: router.Status{Name: "rt-1", Shards: []pool.OwnerView{{
		Servers: []pool.ServerView{{Name: "s1", RequestLimit: &limit}, {Name: "s2"}},
	}}}}})
	column := slices.Index(table.columns, "request_limit")
	assert.Equal(t, table.rows[0][column], 2.5)
	assert.Equal(t, table.rows[1][column], "-")
}
