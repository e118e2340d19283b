package main

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against counts that include requests beside a disturbance, of other hosts than the
// one that stops, or that hide a request that was cut.
func TestFormsAreCounted(t *testing.T) {
	const lines = `
   8.0000 a {"msg":"stopping"}
   8.5000 b {"msg":"configuration submitted","error":null}
   9.0000 a {"msg":"request","total_ms":1500,"conn_request":2,"outcome":"whole","closed":"","cause":null}
  10.0000 a {"msg":"request","total_ms":500,"conn_request":1,"outcome":"silent","closed":"the host stops","cause":"this host is stopping"}
  10.0000 b {"msg":"request","total_ms":500,"conn_request":3,"outcome":"silent","closed":"the response was interrupted after its start","cause":"server inactivity timeout exceeded"}
  10.1000 b {"msg":"request refused"}
  10.2000 b {"msg":"request","total_ms":100,"conn_request":3,"outcome":"refused","closed":""}
  30.0000 a {"msg":"settings reloaded","signal":true}
  30.0000 b {"msg":"settings reloaded","signal":false}
  30.5000 a {"msg":"request","total_ms":100,"conn_request":2,"outcome":"whole","closed":""}
  40.0000 a {"msg":"checked idle connections","closed":4}
  40.0000 a {"msg":"connection ended without a handled request","reason":"crossed"}

how tries ended: 200: 3; cut in the answer: 2

what happened
     3.0 s to     40.5 s  config_storm 
    25.0 s to     27.8 s  srv_grey (mute) 1 servers
    31.0 s to     31.5 s  reset_conns 1

seen
     9.0 s to     10.0 s  no_disturbance
`
	d, err := read(strings.NewReader(lines))
	assert.NilError(t, err)
	var out strings.Builder
	d.write(&out)
	assert.Equal(t, out.String(), `| form | could | whole | answered | left | deadline | broken off | stopped | cut |
|---|---|---|---|---|---|---|---|---|
| kept connection | 3 | 2 | 0 | 0 | 0 | 0 | 0 | 1 |
| SIGTERM | 2 | 1 | 0 | 0 | 0 | 0 | 1 | 0 |
| SIGHUP | 0 | 0 | 0 | 0 | 0 | 0 | 0 | 0 |
| configuration | 5 | 1 | 2 | 0 | 0 | 0 | 1 | 1 |
| SIGTERM, silent servers | 0 | 0 | 0 | 0 | 0 | 0 | 0 | 0 |
| SIGHUP, silent servers | 1 | 1 | 0 | 0 | 0 | 0 | 0 | 0 |
| configuration, silent servers | 0 | 0 | 0 | 0 | 0 | 0 | 0 | 0 |
lines 6, tries 5, idle connections closed 4, unused 0, without a handled request map[crossed:1]
`)
}
