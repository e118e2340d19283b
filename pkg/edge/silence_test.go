package edge

import (
	"bytes"
	"context"
	"encoding/json"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"jackdawtrack.example/jackdawtrack/pkg/dispatch"
)

// Guards against a server that is avoided because it fell silent, or no longer, without a
// line in the log and a count.
func TestAvoidanceOfASilentServerIsLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		begin := time.Now()
		infos := []dispatch.ServerInfo{{ID: "silent"}, {ID: "sound"}}
		for i := range infos {
			infos[i].Service, infos[i].DataCentre, infos[i].Slots, infos[i].KVTokens, infos[i].Release, infos[i].Recorded, infos[i].Ready, infos[i].Heard = "s", "z", 64, 500_000, v1, true, true, begin
		}
		var out bytes.Buffer
		ctx, cancel := context.WithCancel(t.Context())
		s := &Server{ctx: ctx, metrics: newMetrics(metrics.NewRegistry()), dispatcher: dispatch.New("edge", "z", begin), log: logrus.NewEntry(&logrus.Logger{Out: &out, Formatter: &logrus.JSONFormatter{}, Level: logrus.InfoLevel, Hooks: logrus.LevelHooks{}})}
		go s.watchAvoidance()
		decide := func(excluded string) {
			s.mu.Lock()
			defer s.mu.Unlock()
			now := time.Now()
			s.dispatcher.SetServers(now, infos)
			r := &dispatch.Request{Workspace: "w", Service: "s", PromptTokens: 10, Arrived: now, Objective: time.Second, Deadline: now.Add(time.Minute), ExcludedServers: []string{excluded}}
			assert.Equal(t, s.dispatcher.Admit(now, r).Action, dispatch.Send)
			if excluded == "silent" {
				s.dispatcher.RecordOutcome(now, r, dispatch.Completed)
			}
		}
		lines := func() (avoided []bool) {
			s.mu.Lock()
			defer s.mu.Unlock()
			for line := range strings.Lines(out.String()) {
				var fields struct {
					Server  string
					Avoided bool
				}
				assert.NilError(t, json.Unmarshal([]byte(line), &fields))
				assert.Equal(t, fields.Server, "silent")
				avoided = append(avoided, fields.Avoided)
			}
			return avoided
		}
		decide("sound")
		for time.Since(begin) < 4*time.Second {
			time.Sleep(100 * time.Millisecond) // virtual time
			infos[1].Heard = time.Now()
			decide("silent")
		}
		time.Sleep(avoidanceLogInterval)
		synctest.Wait()
		assert.DeepEqual(t, lines(), []bool{true})
		infos[0].Heard = time.Now() // it announces itself
		decide("silent")
		time.Sleep(avoidanceLogInterval)
		synctest.Wait()
		assert.DeepEqual(t, lines(), []bool{true, false})
		assert.Equal(t, s.count("edge.servers.avoided"), int64(1))
		assert.Equal(t, s.count("edge.servers.avoided_no_longer"), int64(1))
		cancel()
		synctest.Wait()
	})
}
