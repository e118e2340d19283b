package placement

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var now = time.Unix(1_000_000, 0)

func server(name, pool string) Server {
	return Server{Name: name, Pool: pool, CapacityUnitsPerS: 100, InPoolSince: now.Add(-time.Hour), LoadablePools: []string{"large", "small", "draft"}}
}

// Guards against moves without need, moves out of a pool that needs its servers,
// a pool with demand that loses its last server, and moves for drafts before
// those for requests that may not wait.
func TestPlan(t *testing.T) {
	recent := server("s3", "draft")
	recent.InPoolSince = now.Add(-time.Minute)
	for _, c := range []struct {
		name    string
		demands []Demand
		servers []Server
		want    []Move
	}{
		{"enough capacity", []Demand{{Pool: "large", UnitsPerS: 150}},
			[]Server{server("s1", "large"), server("s2", "large"), server("s3", "draft")}, nil},
		{"idle pool gives up a server", []Demand{{Pool: "large", UnitsPerS: 150}},
			[]Server{server("s1", "large"), server("s2", "draft"), server("s3", "draft")},
			[]Move{{"s2", "draft", "large"}}},
		{"server that moved recently stays", []Demand{{Pool: "large", UnitsPerS: 150}},
			[]Server{server("s1", "large"), recent}, nil},
		{"busy pool keeps its servers", []Demand{{Pool: "large", UnitsPerS: 150}, {Pool: "draft", UnitsPerS: 90}},
			[]Server{server("s1", "large"), server("s2", "draft"), server("s3", "draft")}, nil},
		{"last server stays", []Demand{{Pool: "large", UnitsPerS: 150}, {Pool: "draft", UnitsPerS: 1}},
			[]Server{server("s1", "large"), server("s2", "draft")}, nil},
		{"pool with requests that may not wait first", []Demand{{Pool: "draft", UnitsPerS: 500, Waiting: 50}, {Pool: "large", UnitsPerS: 90, MustAnswer: true}},
			[]Server{server("s1", "large"), server("s2", "small"), server("s3", "draft")},
			[]Move{{"s2", "small", "large"}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			assert.DeepEqual(t, Plan(now, c.demands, c.servers, 1), c.want)
		})
	}
}

// Guards against plans that undo each other: a second plan after the moves of the
// first must be empty.
func TestPlanIsStable(t *testing.T) {
	demands := []Demand{{Pool: "large", UnitsPerS: 240}, {Pool: "draft", UnitsPerS: 60}}
	servers := []Server{server("s1", "large"), server("s2", "draft"), server("s3", "draft"), server("s4", "draft")}
	moves := Plan(now, demands, servers, 10)
	assert.Equal(t, len(moves), 2)
	for i := range servers {
		servers[i].Unavailable = false
		servers[i].InPoolSince = now.Add(-time.Hour)
	}
	assert.Equal(t, len(Plan(now, demands, servers, 10)), 0)
}
