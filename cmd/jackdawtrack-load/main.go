// Command jackdawtrack-load is a load generator: it sends the requests of an
// experiment file to a fleet and reports latencies, service units and
// executions. It exits with 1 when the report contains faults, such as a
// truncated response or an idempotency key that was executed twice.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"jackdawtrack.example/jackdawtrack/pkg/load"
	"jackdawtrack.example/jackdawtrack/pkg/logging"
	"jackdawtrack.example/jackdawtrack/pkg/settings"
)

// version is set by the linker.
var version = "development"

var errFaults = errors.New("the run found faults, see the report")

func main() {
	app := kingpin.New("jackdawtrack-load", "Load generator: sends the requests of an experiment file.")
	app.Version(version)
	path := app.Flag("settings", "Experiment file (YAML).").Required().String()
	check := app.Flag("check", "Check the file and exit.").Bool()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	if err := run(*path, *check); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(path string, check bool) error {
	experiment := load.NewExperiment()
	if err := settings.Load(path, experiment); err != nil {
		return err
	}
	if err := logging.SetupText(experiment.LogLevel, os.Stderr); err != nil {
		return err
	}
	if check {
		fmt.Println("settings are valid")
		return nil
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	report, err := experiment.Run(ctx, logging.ForComponent("load"))
	if err != nil {
		return err
	}
	report.Print(os.Stdout)
	if len(report.Faults()) > 0 {
		return errFaults
	}
	return nil
}
