package edge

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"strings"
	"testing"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"jackdawtrack.example/jackdawtrack/pkg/dispatch"
)

// Guards against beliefs on many servers that are shortened because their line is longer
// than a pipe takes in one piece.
func TestBeliefsOnManyServersAreLoggedWhole(t *testing.T) {
	const pipeBuffer = 4096 // PIPE_BUF of pipe(7)
	for _, servers := range []int{0, 1, serversPerLine, serversPerLine + 1, 100} {
		var r dispatch.Report
		var want []string
		limit := -12345.678
		for i := range servers {
			want = append(want, fmt.Sprintf("i-%010d", i))
			r.Servers = append(r.Servers, dispatch.ServerReport{
				Server: want[i], BacklogMS: math.MaxInt32, TokensPerMS: math.MaxInt32, DelayMS: math.MaxInt32,
				RunningRequests: math.MaxInt16, OwnRequests: math.MaxInt16, KVTokens: math.MaxInt32, FailureRate: 0.99, LatencyMS: math.MaxInt32, Limit: &limit, LimitTokens: -12345.6,
			})
		}
		var out bytes.Buffer
		s := &Server{metrics: newMetrics(metrics.NewRegistry()), log: logrus.NewEntry(&logrus.Logger{Out: &out, Formatter: &logrus.JSONFormatter{}, Level: logrus.InfoLevel, Hooks: logrus.LevelHooks{}})}
		s.logBeliefs(r)
		var got []string
		for line := range strings.Lines(out.String()) {
			assert.Assert(t, len(line) <= pipeBuffer, "a line of %d bytes", len(line))
			var fields struct{ Servers []dispatch.ServerReport }
			assert.NilError(t, json.Unmarshal([]byte(line), &fields))
			for _, server := range fields.Servers {
				got = append(got, server.Server)
			}
		}
		assert.DeepEqual(t, got, want)
	}
}
