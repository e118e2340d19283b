package fleet

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
)

func applyCommand(t interface{ Fatal(...any) }, s *State, index uint64, c *apiv1.FleetCommand) {
	data, err := EncodeCommand(c)
	if err != nil {
		t.Fatal(err)
	}
	if failed, ok := s.Apply(index, data).(error); ok {
		t.Fatal(failed)
	}
}

// Guards against a document version that decreases, content that changes under one
// version, a lost mark, and a snapshot that differs from the state. It compares the
// state with a simple model.
func TestStateMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewState()
		version, content := uint64(0), ""
		out := map[string]bool{}
		for index := uint64(1); index <= 30; index++ {
			if rapid.Bool().Draw(t, "document") {
				v := rapid.Uint64Range(1, 20).Draw(t, "version")
				data := rapid.StringN(0, 3, 8).Draw(t, "data")
				applyCommand(t, s, index, &apiv1.FleetCommand{Document: &apiv1.FleetDocument{Version: v, Data: []byte(data)}})
				if v > version {
					version, content = v, data
				}
			} else {
				zone := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "data centre")
				isOut := rapid.Bool().Draw(t, "out")
				applyCommand(t, s, index, &apiv1.FleetCommand{Mark: &apiv1.FleetMark{DataCentre: zone, Out: isOut}})
				out[zone] = isOut
			}
			if rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
				data, err := s.Snapshot()
				if err != nil {
					t.Fatal(err)
				}
				s = NewState()
				if err := s.Restore(data); err != nil {
					t.Fatal(err)
				}
			}
			view, _ := s.View(0)
			if view.GetDocument().GetVersion() != version || string(view.GetDocument().GetData()) != content {
				t.Fatalf("document %v, want version %d %q", view.GetDocument(), version, content)
			}
			for _, m := range view.GetMarks() {
				if m.GetOut() != out[m.GetDataCentre()] {
					t.Fatalf("mark %v, want %v", m, out)
				}
			}
		}
	})
}

// Guards against an undecodable command that stops a host.
func TestUndecodableCommandReturnsError(t *testing.T) {
	_, ok := NewState().Apply(1, []byte{0xff}).(error)
	assert.Assert(t, ok)
}

func verdictCommand(t testing.TB, v *apiv1.QuarantineVerdict) []byte {
	data, err := EncodeCommand(&apiv1.FleetCommand{Verdict: v})
	assert.NilError(t, err)
	return data
}

// Guards against an older verdict replacing a newer one, a state that grows with
// the number of parts, and verdicts that a restart loses.
func TestVerdictsAreStoredAndBounded(t *testing.T) {
	s := NewState()
	index := uint64(0)
	apply := func(part uint64, generation, state uint32, storedMS int64) {
		index++
		s.Apply(index, verdictCommand(t, &apiv1.QuarantineVerdict{Suspect: part, Generation: generation, State: state, StoredUnixMs: storedMS}))
	}
	apply(1, 2, 2, 5)
	apply(1, 1, 2, 6) // older
	apply(1, 2, 1, 7) // equal generation, lower state
	view, _ := s.View(0)
	assert.Equal(t, len(view.GetVerdicts()), 1)
	assert.Equal(t, view.GetVerdicts()[0].GetStoredUnixMs(), int64(5))
	assert.Equal(t, view.GetRevision(), uint64(1), "a command without an effect wakes no watcher")
	for part := range uint64(3 * MaxVerdicts) {
		apply(100+part, 1, uint32(part%3), int64(part))
	}
	snapshot, err := s.Snapshot()
	assert.NilError(t, err)
	restored := NewState()
	assert.NilError(t, restored.Restore(snapshot))
	view, _ = restored.View(0)
	assert.Equal(t, len(view.GetVerdicts()), MaxVerdicts)
	quarantined := 0
	for _, v := range view.GetVerdicts() {
		if v.GetState() == 2 {
			quarantined++
		}
	}
	assert.Assert(t, quarantined >= MaxVerdicts-1, "%d of %d are quarantined", quarantined, MaxVerdicts)
}
