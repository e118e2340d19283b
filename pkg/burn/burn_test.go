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

// Guards against misses under the wrong cause and against refusals of invalid
// requests that would burn the budget.
func TestJudge(t *testing.T) {
	for _, c := range []struct {
		name   string
		sample Sample
		want   Verdict
	}{
		{"met", Sample{FirstByte: 300 * time.Millisecond}, Verdict{Counted: true}},
		{"server slow", Sample{FirstByte: time.Second}, Verdict{true, true, CauseServer}},
		{"queue slow", Sample{FirstByte: time.Second, Waited: 900 * time.Millisecond}, Verdict{true, true, CauseWaiting}},
		{"refused", Sample{Code: result.TargetUnreachable}, Verdict{true, true, CauseRefusal}},
		{"refused after a data centre went", Sample{Code: result.TargetUnreachable, SinceDataCentreChange: time.Second}, Verdict{true, true, CauseDataCentre}},
		{"long after the change", Sample{Code: result.TargetUnreachable, SinceDataCentreChange: time.Hour}, Verdict{true, true, CauseRefusal}},
		{"broken", Sample{Code: result.StreamBroken}, Verdict{true, true, CauseServer}},
		{"invalid", Sample{Code: result.InvalidRequest}, Verdict{}},
		{"caller left", Sample{CallerLeft: true}, Verdict{}},
	} {
		t.Run(c.name, func(t *testing.T) {
			c.sample.Class = chat
			assert.Equal(t, Judge(c.sample), c.want)
		})
	}
}

// Guards against windows that forget too early, never forget, or count twice
// after a merge of routers.
func TestWindowsAndMerge(t *testing.T) {
	a, b := NewRecorder("a", start), NewRecorder("b", start)
	for i := range 100 {
		now := start.Add(time.Duration(i) * time.Second)
		late := time.Duration(0)
		if i%10 == 0 {
			late = time.Second
		}
		a.Record(now, Sample{Class: chat, Workspace: "w", FirstByte: 100*time.Millisecond + late})
		b.Record(now, Sample{Class: chat, Workspace: "w", FirstByte: 200 * time.Millisecond})
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
	// 5% missed with a budget of 5% uses exactly the budget.
	assert.Assert(t, now.Counts[0].Rate(0.95) > 0.999 && now.Counts[0].Rate(0.95) < 1.001)
	a.Record(start.Add(6*time.Minute), Sample{Class: chat, Workspace: "w", FirstByte: time.Millisecond})
	later := at(20 * time.Minute)
	assert.Equal(t, later.Counts[0].Total, 0.0)
	assert.Equal(t, later.Counts[1].Total, 201.0)
}

// Guards against memory that grows with the number of workspaces.
func TestKeysAreBounded(t *testing.T) {
	r := NewRecorder("a", start)
	for i := range maxKeys + 1000 {
		r.Record(start, Sample{Class: chat, Workspace: fmt.Sprint(i), FirstByte: time.Millisecond})
	}
	assert.Equal(t, len(r.series), maxKeys+1)
	assert.Equal(t, r.series[key{"chat", OtherWorkspaces}][0].current.total, uint32(1000))
}

// Guards against a report that hides what it does not know.
func TestTableAndPageNameWhatIsMissing(t *testing.T) {
	r := NewRecorder("a", start)
	r.Record(start, Sample{Class: chat, Workspace: "w", FirstByte: time.Second})
	report, err := r.Report(start.Add(time.Minute))
	assert.NilError(t, err)
	report.Sources = append(report.Sources, Source{Router: "b", Error: "no answer in 3s"})
	var page strings.Builder
	assert.NilError(t, report.WritePage(&page))
	for _, want := range []string{"missing: router b: no answer", "partial: router a covers 20% of 5m", "<svg", "chat"} {
		assert.Assert(t, strings.Contains(page.String(), want), want)
	}
	assert.Assert(t, !strings.Contains(page.String(), "href"), "page has an outside reference")
}
