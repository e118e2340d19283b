package fleet

import (
	"fmt"
	"testing"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
)

// BenchmarkAlwaysLedTo asks for one of 1,000 routes, as each query without a record does.
func BenchmarkAlwaysLedTo(b *testing.B) {
	s, routes := NewState(), testRoutes{}
	for n := range 1000 {
		routes[fmt.Sprintf("host-%d/v1/", n)] = "s"
	}
	applyCommand(b, s, 1, &apiv1.FleetCommand{Document: routes.document(1)})
	b.ReportAllocs()
	for b.Loop() {
		if !s.AlwaysLedTo("host-7/v1/", "s") {
			b.Fatal("the route has not changed")
		}
	}
}
