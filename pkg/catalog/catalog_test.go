package catalog

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/pkg/class"
	"jackdawtrack.example/jackdawtrack/pkg/datacentre"
	"jackdawtrack.example/jackdawtrack/pkg/result"
	"jackdawtrack.example/jackdawtrack/pkg/workspace"
)

// testSeed makes the property tests reproducible; the flag -rapid.seed
// overrides it.
const testSeed = "20261204"

func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		_ = seed.Value.Set(testSeed)
	}
	fmt.Println("rapid seed", flag.Lookup("rapid.seed").Value)
	os.Exit(m.Run())
}

func setDataCentre(name string, v bool) *apiv1.Change {
	return DataCentreChange(datacentre.DataCentre{Name: name, Out: v})
}

// Guards against a server that is accepted by a prefix although a credential
// with its exact name exists, and against a shorter prefix that takes
// precedence over a longer one.
func TestExactCredentialComesBeforeLongestPrefix(t *testing.T) {
	c := Empty().WithChanges(1, []*apiv1.Change{
		CredentialChange(Credential{Name: "gpu-*", KeyHash: workspace.HashKey("all")}),
		CredentialChange(Credential{Name: "gpu-a-*", KeyHash: workspace.HashKey("a")}),
		CredentialChange(Credential{Name: "gpu-a-1", KeyHash: workspace.HashKey("one")}),
	})
	for server, key := range map[string]string{"gpu-a-1": "one", "gpu-a-2": "a", "gpu-b-1": "all"} {
		cred, ok := c.BackendCredential(server)
		assert.Assert(t, ok && cred.Authenticate(key), "server %s got %q", server, cred.Name)
	}
	for _, server := range []string{"cpu-1", "gpu-*"} {
		_, ok := c.BackendCredential(server)
		assert.Assert(t, !ok, "server %s", server)
	}
}

// Guards against an old message that reverts the configuration.
func TestStoreAppliesOnlyGreaterRevisions(t *testing.T) {
	s := NewStore()
	assert.Assert(t, s.Load() == nil)
	assert.Assert(t, !s.ApplyDelta(0, 1, nil), "a delta cannot be the first")
	assert.Assert(t, s.ApplySnapshot(5, []*apiv1.Change{setDataCentre("north", true)}))
	assert.Assert(t, !s.ApplySnapshot(5, nil))
	assert.Assert(t, !s.ApplySnapshot(4, nil))
	assert.Assert(t, !s.ApplyDelta(6, 7, nil), "a gap must be rejected")
	assert.Assert(t, !s.ApplyDelta(4, 5, []*apiv1.Change{setDataCentre("north", false)}))
	assert.Assert(t, s.Load().IsDataCentreOut("north"))
	assert.Assert(t, s.ApplyDelta(4, 6, []*apiv1.Change{setDataCentre("north", false)}))
	assert.Assert(t, !s.Load().IsDataCentreOut("north"))
}

// Guards against a change of one revision that is visible in an older one.
func TestCatalogIsImmutable(t *testing.T) {
	a := Empty().WithChanges(1, []*apiv1.Change{setDataCentre("north", false)})
	b := a.WithChanges(2, []*apiv1.Change{setDataCentre("north", true)})
	assert.Assert(t, !a.IsDataCentreOut("north") && b.IsDataCentreOut("north"))
}

// Guards against invalid values that are accepted because of an overflow or a
// NaN.
func TestValidateRejectsValuesOutOfRange(t *testing.T) {
	huge := int64(math.MaxInt64 / 1000)
	for name, ch := range map[string]*apiv1.Change{
		"unknown":   {},
		"overflow":  {Item: &apiv1.Change_Class{Class: &apiv1.Class{Name: "c", FirstTokenMs: huge, MayWait: true}}},
		"objective": {Item: &apiv1.Change_Class{Class: &apiv1.Class{Name: "c", MayWait: true, Objective: math.NaN()}}},
		"rate":      {Item: &apiv1.Change_Workspace{Workspace: &apiv1.Workspace{Name: "w", RequestsPerSecond: math.NaN()}}},
		"star":      OperatorChange(Operator{Name: "*", KeyHash: workspace.HashKey("k")}),
		"hash":      CredentialChange(Credential{Name: "a*", KeyHash: []byte("short")}),
	} {
		code, _ := result.CodeOf(Validate(ch))
		assert.Equal(t, code, result.InvalidCommand, name)
	}
	assert.NilError(t, Validate(CredentialChange(Credential{Name: "a*", KeyHash: workspace.HashKey("k")})))
	assert.NilError(t, Validate(ClassChange(class.Class{Name: "chat", FirstToken: time.Second})))
}

// Guards against a watcher whose catalog differs from its source after an
// event, whatever revision the watcher resumed from.
func TestEventsBringAnyWatcherToCurrentCatalog(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		source, follower := NewStore(), NewStore()
		source.ApplySnapshot(0, nil)
		for revision := uint64(1); revision <= 40; revision++ {
			ch := setDataCentre(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name"), rapid.Bool().Draw(t, "out"))
			ch.Delete = rapid.Bool().Draw(t, "delete")
			source.Replace(source.Load().WithChanges(revision, []*apiv1.Change{ch}), []*apiv1.Change{ch})
			if !rapid.Bool().Draw(t, "follow") {
				continue
			}
			event := source.EventAfter(follower.Revision())
			if event.GetSnapshot() {
				follower.ApplySnapshot(event.GetRevision(), event.GetChanges())
			} else {
				assert.Assert(t, follower.ApplyDelta(event.GetPreviousRevision(), event.GetRevision(), event.GetChanges()))
			}
			assertEqual(t, follower.Load(), source.Load())
		}
	})
}

func assertEqual(t assert.TestingT, a, b *Catalog) {
	snapshot := func(c *Catalog) *apiv1.Snapshot {
		return &apiv1.Snapshot{Revision: c.Revision(), Items: c.Items()}
	}
	assert.Assert(t, proto.Equal(snapshot(a), snapshot(b)), "%v\n%v", snapshot(a), snapshot(b))
}

// Guards against an unbounded window, and against a delta from a revision to
// which the window no longer reaches back.
func TestWindowIsBoundedAndFallsBackToSnapshot(t *testing.T) {
	s := NewStore()
	s.ApplySnapshot(0, nil)
	for revision := uint64(1); revision <= 2*maxWindowRevisions; revision++ {
		s.ApplyDelta(revision-1, revision, []*apiv1.Change{setDataCentre("a", true)})
	}
	assert.Equal(t, len(s.window), maxWindowRevisions)
	assert.Assert(t, s.EventAfter(1).GetSnapshot())
	assert.Assert(t, !s.EventAfter(maxWindowRevisions+1).GetSnapshot())
	assert.Assert(t, s.EventAfter(2*maxWindowRevisions) == nil)
}

// Guards against a watcher that cannot tell a broken stream from an idle one.
func TestWatchSendsChangesAtOnceAndHeartbeats(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := NewStore()
		s.ApplySnapshot(1, nil)
		ctx, cancel := context.WithCancel(t.Context())
		events := make(chan *apiv1.WatchEvent, 10)
		done := make(chan error, 1)
		go func() {
			done <- ServeWatch(ctx, s, 0, func(context.Context) bool { return true },
				func(e *apiv1.WatchEvent) error { events <- e; return nil })
		}()
		synctest.Wait()
		s.ApplyDelta(1, 2, []*apiv1.Change{setDataCentre("a", true)})
		synctest.Wait()
		assert.Equal(t, len(events), 2)
		first, second := <-events, <-events
		assert.Assert(t, first.GetSnapshot() && first.GetConfirmed())
		assert.Equal(t, second.GetPreviousRevision(), uint64(1))
		time.Sleep(3*HeartbeatInterval + HeartbeatInterval/2)
		synctest.Wait()
		assert.Equal(t, len(events), 3)
		cancel()
		assert.Assert(t, errors.Is(<-done, context.Canceled))
	})
}
