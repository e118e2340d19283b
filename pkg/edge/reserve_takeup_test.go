package edge

import (
	"net"
	"testing"
	"time"

	"golang.org/x/time/rate"
	"gotest.tools/v3/assert"
)

// reservingDialect reserves slots.
type reservingDialect struct{ silentDialect }

func (reservingDialect) ReservationRequest(int, time.Duration) (string, []byte) {
	return "/reserve", nil
}

// Guards against engines that do not answer the reservations of take-ups and end all
// reservations of the host for seconds.
func TestSilentEngineDoesNotEndReservations(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0") // nobody accepts, the kernel does
	assert.NilError(t, err)
	defer l.Close()
	for overtakes, want := range map[bool]bool{true: false, false: true} {
		h, _, _ := newSilentHedge(t)
		x := h.x
		defer x.s.transport.Close()
		x.s.config.Dialect, x.s.refusalLogLimiter = reservingDialect{}, rate.NewLimiter(0, 0)
		v := h.first.decision
		v.Address, v.Overtakes = l.Addr().String(), overtakes
		assert.Assert(t, !x.reserve(v))
		assert.Equal(t, x.s.reservations.shouldSkip(time.Now()), want)
	}
}
