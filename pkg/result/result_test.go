package result

import (
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against codes with a wrong statement about execution, and against table
// rows that are missing from the operators' page.
func TestTableIsCompleteAndDocumented(t *testing.T) {
	page, err := os.ReadFile("../../docs/results.md")
	assert.NilError(t, err)
	for _, e := range Table {
		row := "| " + strings.Replace(e.Code.String(), " ", " | ", 1) + " |"
		assert.Assert(t, strings.Contains(string(page), row), "docs/results.md has no row %q", row)
		assert.Assert(t, e.Help != "")
	}
	assert.Equal(t, OutcomeUnknown.Executed(), ExecutedMaybe)
	assert.Equal(t, ConnectFailed.Executed(), ExecutedNo)
	assert.Equal(t, ServerError.Executed(), ExecutedYes)
}

// Guards against a wrapped error without its cause, text or stack.
func TestWrapKeepsTheCause(t *testing.T) {
	err := Wrap(DiskFull, os.ErrPermission, "folder %s", "data")
	assert.ErrorIs(t, err, os.ErrPermission)
	assert.Equal(t, err.Error(), "502 disk_full: folder data: permission denied")
	assert.Assert(t, strings.Contains(FormatWithStack(err.Cause), "TestWrapKeepsTheCause"))
	assert.Equal(t, Wrap(DiskFull, nil, "folder").Error(), "502 disk_full: folder")
}
