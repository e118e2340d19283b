package edge

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"jackdawtrack.example/jackdawtrack/pkg/dispatch"
)

// Guards against limits of servers that leave no line in the log and no count, and against a
// server that fills the log with them.
func TestLimitsAreLoggedAndCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		ctx, cancel := context.WithCancel(t.Context())
		s := &Server{ctx: ctx, metrics: newMetrics(metrics.NewRegistry()), dispatcher: dispatch.New("edge", "z", time.Now()), log: logrus.NewEntry(&logrus.Logger{Out: &out, Formatter: &logrus.JSONFormatter{}, Level: logrus.InfoLevel, Hooks: logrus.LevelHooks{}})}
		s.dispatcher.SetServers(time.Now(), []dispatch.ServerInfo{{ID: "i-1", Service: "s", DataCentre: "z", Slots: 4, Ready: true, StartMS: 5}})
		v := dispatch.Decision{Server: "i-1", StartMS: 5}
		go s.watchLimits()
		look := func(l RequestLimit) {
			s.applyLimit(v, l, time.Now())
			time.Sleep(2 * limitLogInterval) // virtual time
			synctest.Wait()
		}
		gauge := metrics.GetOrRegisterGauge("edge.limits.servers", s.metrics.registry)
		look(RequestLimit{PerSecond: 2.5, Stated: true})
		assert.Equal(t, gauge.Value(), int64(1))
		look(RequestLimit{Invalid: true})
		assert.Equal(t, gauge.Value(), int64(1))
		time.Sleep(10 * time.Second)
		look(RequestLimit{})
		assert.Equal(t, gauge.Value(), int64(0))
		lines := strings.Split(strings.TrimSpace(out.String()), "\n")
		assert.Equal(t, len(lines), 2)
		assert.Assert(t, strings.Contains(lines[0], `"after":2.5,"before":"none"`) && strings.Contains(lines[0], `"server":"i-1"`), lines[0])
		assert.Assert(t, strings.Contains(lines[1], `"after":"none","before":2.5`), lines[1])
		for i := range 1000 {
			s.applyLimit(v, RequestLimit{PerSecond: 2000 - float64(i), Stated: true}, time.Now())
		}
		time.Sleep(2 * limitLogInterval)
		synctest.Wait()
		count := func(name string) int64 { return metrics.GetOrRegisterCounter(name, s.metrics.registry).Count() }
		assert.Equal(t, count("edge.limits.changes"), int64(1002))
		assert.Equal(t, count("edge.limits.invalid"), int64(1))
		assert.Assert(t, strings.Count(out.String(), "\n") <= 2+limitLogBurst+limitLogRate, "%d lines", strings.Count(out.String(), "\n"))
		cancel()
	})
}
