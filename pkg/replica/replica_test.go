package replica

import (
	"context"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"jackdawtrack.example/jackdawtrack/pkg/result"
)

// listMachine appends each command to a list and returns its position.
type listMachine struct{ commands []string }

func (m *listMachine) Apply(_ uint64, command []byte) any {
	m.commands = append(m.commands, string(command))
	return len(m.commands)
}

func (m *listMachine) Snapshot() ([]byte, error) {
	return []byte(strings.Join(m.commands, "\n")), nil
}

func (m *listMachine) Restore(data []byte) error {
	m.commands = nil
	if len(data) > 0 {
		m.commands = strings.Split(string(data), "\n")
	}
	return nil
}

// Guards against changes that are lost by a restart (F8).
func TestRestartAfterHundredsOfChanges(t *testing.T) {
	const changes = 300
	c := Config{ID: 1, Folder: t.TempDir(), Address: "127.0.0.1:1", Bootstrap: []Member{{ID: 1, Address: "127.0.0.1:1"}}}
	r, err := Open(c, &listMachine{})
	assert.NilError(t, err)
	for i := range changes {
		got, err := r.Propose(context.Background(), fmt.Appendf(nil, "change %d", i))
		assert.NilError(t, err)
		assert.Equal(t, got, i+1)
	}
	assert.NilError(t, r.Close())
	m := &listMachine{}
	r, err = Open(c, m)
	assert.NilError(t, err)
	defer r.Close()
	assert.NilError(t, r.ReadBarrier(context.Background()))
	assert.Equal(t, len(m.commands), changes)
	assert.Equal(t, m.commands[changes-1], fmt.Sprintf("change %d", changes-1))
}

// Guards against two processes that write to one folder.
func TestTwoProcessesOnOneFolder(t *testing.T) {
	c := Config{ID: 1, Folder: t.TempDir(), Address: "127.0.0.1:1", Bootstrap: []Member{{ID: 1, Address: "127.0.0.1:1"}}}
	r, err := Open(c, &listMachine{})
	assert.NilError(t, err)
	defer r.Close()
	_, err = Open(c, &listMachine{})
	code, _ := result.CodeOf(err)
	assert.Equal(t, code, result.FolderLocked)
}
