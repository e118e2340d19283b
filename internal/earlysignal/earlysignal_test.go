package earlysignal_test

import (
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
)

const exitInvalidSettings = 2

// buildPrograms builds the programs that reload their settings and returns their paths.
func buildPrograms(t *testing.T) []string {
	dir := t.TempDir()
	build := exec.Command("go", "build", "-o", dir, "./cmd/jackdawtrack-edge", "./cmd/jackdawtrack-core")
	build.Dir = "../.."
	out, err := build.CombinedOutput()
	assert.NilError(t, err, "%s", out)
	return []string{filepath.Join(dir, "jackdawtrack-edge"), filepath.Join(dir, "jackdawtrack-core")}
}

// Guards against a process that a SIGHUP behind its start ends, because its program asks for
// the signal after the packages for HTTP and its own were initialized, or not at all.
func TestProgramsAskForSIGHUPBeforeTheyInitializeOtherPackages(t *testing.T) {
	for _, program := range buildPrograms(t) {
		c := exec.Command(program, "--settings", filepath.Join(t.TempDir(), "none"))
		c.Env = append(os.Environ(), "GODEBUG=inittrace=1")
		out, _ := c.CombinedOutput() // it fails, because there are no settings
		asked := strings.Index(string(out), "/internal/earlysignal @")
		assert.Assert(t, asked > 0, "%s does not ask for SIGHUP early: %s", program, out)
		for _, later := range []string{"init net @", "init net/http @", "init jackdawtrack.example/jackdawtrack/platform @"} {
			at := strings.Index(string(out), later)
			assert.Check(t, at > asked, "%s: %q is not behind the request for SIGHUP", program, later)
		}
	}
}

// Guards against an operator who starts processes with SIGHUP ignored, as OPERATIONS.md says,
// and loses one to a SIGHUP behind its start.
func TestProcessStartedWithSIGHUPIgnoredSurvivesOneBehindItsStart(t *testing.T) {
	signal.Ignore(syscall.SIGHUP) // children inherit it
	defer signal.Reset(syscall.SIGHUP)
	for _, program := range buildPrograms(t) {
		for range 20 {
			c := exec.Command(program, "--settings", filepath.Join(t.TempDir(), "none"))
			assert.NilError(t, c.Start())
			_ = c.Process.Signal(syscall.SIGHUP) // fails if it has ended already
			_ = c.Wait()
			assert.Equal(t, c.ProcessState.ExitCode(), exitInvalidSettings, "%s: %s", program, c.ProcessState)
		}
	}
}
