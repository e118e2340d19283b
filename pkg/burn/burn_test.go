package burn

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jackdawtrack.example/jackdawtrack/pkg/class"
	"jackdawtrack.example/jackdawtrack/pkg/result"
)

var (
	chat  = class.Class{Name: "chat", FirstToken: 340 * time.Millisecond, Objective: 0.95}
	start = time.Unix(1_800_000_000, 0)
)

// Guards against misses with the wrong cause, and against invalid requests that
// use up the error budget.
func TestEvaluate(t *testing.T) {
	for _, c := range []struct {
		name   string
		sample RequestSample
		want   Evaluation
	}{
		{"met", RequestSample{FirstByte: 300 * time.Millisecond}, Evaluation{Counted: true}},
		{"server slow", RequestSample{FirstByte: time.Second}, Evaluation{true, true, CauseServer}},
		{"queue slow", RequestSample{FirstByte: time.Second, QueueTime: 900 * time.Millisecond}, Evaluation{true, true, CauseWaiting}},
		{"refused", RequestSample{Code: result.TargetUnreachable}, Evaluation{true, true, CauseRefusal}},
		{"refused after a data centre change", RequestSample{Code: result.TargetUnreachable, SinceDataCentreChange: time.Second}, Evaluation{true, true, CauseDataCentreChange}},
		{"long after the change", RequestSample{Code: result.TargetUnreachable, SinceDataCentreChange: time.Hour}, Evaluation{true, true, CauseRefusal}},
		{"broken", RequestSample{Code: result.StreamBroken}, Evaluation{true, true, CauseServer}},
		{"invalid", RequestSample{Code: result.InvalidRequest}, Evaluation{}},
		{"caller left", RequestSample{CallerLeft: true}, Evaluation{}},
	} {
		t.Run(c.name, func(t *testing.T) {
			c.sample.Class = chat
			assert.Equal(t, Evaluate(c.sample), c.want)
		})
	}
}

// Guards against windows that drop requests too early, that never drop them, or
// that count them twice after reports were merged.
func TestWindowsAndMerge(t *testing.T) {
	a, b := NewRecorder("a", start), NewRecorder("b", start)
	for i := range 100 {
		now := start.Add(time.Duration(i) * time.Second)
		delay := time.Duration(0)
		if i%10 == 0 {
			delay = time.Second
		}
		a.Record(now, RequestSample{Class: chat, Workspace: "w", FirstByte: 100*time.Millisecond + delay})
		b.Record(now, RequestSample{Class: chat, Workspace: "w", FirstByte: 200 * time.Millisecond})
	}
	at := func(d time.Duration) Row {
		ra, err := a.Report(start.Add(d))
		assert.NilError(t, err)
		rb, err := b.Report(start.Add(d))
		assert.NilError(t, err)
		sum, err := Merge([]*Report{ra, rb})
		assert.NilError(t, err)
		return sum.ByClass()[0]
	}
	now := at(100 * time.Second)
	assert.Equal(t, now.Counts[0].Total, 200.0)
	assert.Equal(t, now.Counts[0].MissedTotal(), 10.0)
	assert.Equal(t, now.Counts[0].MainCause(), CauseServer)
	// 5% misses with a budget of 5% use exactly the budget.
	assert.Assert(t, now.Counts[0].BurnRate(0.95) > 0.999 && now.Counts[0].BurnRate(0.95) < 1.001)
	a.Record(start.Add(6*time.Minute), RequestSample{Class: chat, Workspace: "w", FirstByte: time.Millisecond})
	later := at(20 * time.Minute)
	assert.Equal(t, later.Counts[0].Total, 0.0)
	assert.Equal(t, later.Counts[1].Total, 201.0)
}

// Guards against memory that grows without bound with the number of workspaces.
func TestSeriesAreBounded(t *testing.T) {
	r := NewRecorder("a", start)
	for i := range maxSeries + 1000 {
		r.Record(start, RequestSample{Class: chat, Workspace: fmt.Sprint(i), FirstByte: time.Millisecond})
	}
	assert.Equal(t, len(r.series), maxSeries+1)
	assert.Equal(t, r.series[seriesKey{"chat", OtherWorkspaces}][0].current.total, uint32(1000))
}

// Guards against a report that does not name missing data.
func TestTableAndPageListMissingData(t *testing.T) {
	r := NewRecorder("a", start)
	r.Record(start, RequestSample{Class: chat, Workspace: "w", FirstByte: time.Second})
	report, err := r.Report(start.Add(time.Minute))
	assert.NilError(t, err)
	report.Sources = append(report.Sources, Source{Router: "b", Error: "no answer in 3s"})
	var page strings.Builder
	assert.NilError(t, report.WritePage(&page))
	for _, want := range []string{"missing: router b: no answer", "partial: router a covers 20% of 5m", "<svg", "chat"} {
		assert.Assert(t, strings.Contains(page.String(), want), want)
	}
	assert.Assert(t, !strings.Contains(page.String(), "href"), "page has an external reference")
}
