package pool

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against cold servers that get a full cold limit when their data centre
// comes back, on top of work whose slots were released while they were warm.
func TestReturnWaitsForLoadReport(t *testing.T) {
	o, now := open("s1")
	o.SetDataCentreOut(now, true)
	now = now.Add(time.Second)
	o.SetDataCentreOut(now, false)
	for id := uint64(1); id <= 3; id++ {
		o.Ask(now, ask(id, "w", draft, now))
	}
	a := announce("s1", 0)
	a.Load.AgeMS, a.Load.Running = 500, 1
	o.Announce(now, a)
	assert.Equal(t, len(o.Take().Grants), 0)
	o.Announce(now.Add(time.Second), a)
	assert.Equal(t, len(o.Take().Grants), 1)
}
