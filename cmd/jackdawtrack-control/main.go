// Command jackdawtrack-control runs one control host, a member of the group
// that replicates the configuration and state of the fleet.
//
// Exit codes: 0 after a graceful shutdown, 1 after a failure, 2 when the command
// line or the settings are invalid, 130 when a second signal aborted the
// shutdown.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"jackdawtrack.example/jackdawtrack/pkg/controlhost"
	"jackdawtrack.example/jackdawtrack/pkg/logging"
	"jackdawtrack.example/jackdawtrack/pkg/result"
	"jackdawtrack.example/jackdawtrack/pkg/settings"
)

const (
	exitFailure         = 1
	exitInvalidSettings = 2
	exitInterrupted     = 130
)

// version is set by the linker.
var version = "development"

func main() {
	app := kingpin.New("jackdawtrack-control", "Runs a control host, which replicates the state of the fleet.")
	app.Version(version)
	path := app.Flag("settings", "Settings file (YAML).").Required().String()
	check := app.Flag("check", "Check the settings and exit.").Bool()
	if _, err := app.Parse(os.Args[1:]); err != nil {
		fmt.Fprintf(os.Stderr, "%v; try --help\n", err)
		os.Exit(exitInvalidSettings)
	}
	if err := run(*path, *check); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitCode(err))
	}
}

func exitCode(err error) int {
	if code, ok := result.CodeOf(err); ok && code == result.InvalidSettings {
		return exitInvalidSettings
	}
	return exitFailure
}

func run(path string, check bool) error {
	s := controlhost.NewSettings()
	if err := settings.Load(path, s); err != nil {
		return err
	}
	if err := logging.SetupText(s.LogLevel, os.Stderr); err != nil {
		return err
	}
	if check {
		fmt.Println("settings are valid")
		return nil
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	host, err := controlhost.Open(s, controlhost.Options{})
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go func() {
		<-signals
		stop()
		<-signals
		os.Exit(exitInterrupted)
	}()
	return host.Run(ctx)
}
