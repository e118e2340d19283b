// Command jackdawtrack-core is a core host: it keeps the agreed state of the platform's fleet.
//
// Exit codes: 0 after a graceful shutdown, 1 after a fault, 2 when the command
// line or the settings are not valid.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"jackdawtrack.example/jackdawtrack/pkg/result"
	"jackdawtrack.example/jackdawtrack/platform"
)

const (
	exitFault    = 1
	exitSettings = 2
)

// version is set by the linker.
var version = "development"

func main() {
	app := kingpin.New("jackdawtrack-core", "Runs a core host: it keeps the agreed state of the platform's fleet.")
	app.Version(version)
	path := app.Flag("settings", "Settings file of the platform (JSON); by default the one that the platform names.").String()
	check := app.Flag("check", "Check the settings and exit.").Bool()
	if _, err := app.Parse(os.Args[1:]); err != nil {
		fmt.Fprintf(os.Stderr, "%v; try --help\n", err)
		os.Exit(exitSettings)
	}
	if err := platform.RunCore(*path, *check); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitCode(err))
	}
}

func exitCode(err error) int {
	if code, ok := result.CodeOf(err); ok && code == result.InvalidSettings {
		return exitSettings
	}
	return exitFault
}
