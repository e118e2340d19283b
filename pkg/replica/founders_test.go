package replica

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a group whose members are changed while its first entry is being written: a
// host that founds one on a slow disk identifies the members again meanwhile.
func TestFoundedGroupKeepsItsMembers(t *testing.T) {
	g := newGroup(t, 3)
	m := g.start(1) // alone it founds nothing by itself
	members := g.config(1).Bootstrap
	for i := range members {
		members[i].Identity = uint64(i) + 1
	}
	assert.NilError(t, m.foundOnWorker(g.context(), members))
	for i := range members {
		members[i].Identity = 99
	}
	s, err := m.WaitForStatus(g.context(), func(s Status) bool { return !s.IsNew })
	assert.NilError(t, err)
	for i, member := range s.Members {
		assert.Equal(t, member.Identity, uint64(i)+1)
	}
	assert.Equal(t, len(s.Members), len(members))
}
