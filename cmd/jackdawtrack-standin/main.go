// Command jackdawtrack-standin runs stand-in BackendServers for tests and
// experiments.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"golang.org/x/sync/errgroup"

	"jackdawtrack.example/jackdawtrack/pkg/logging"
	"jackdawtrack.example/jackdawtrack/pkg/settings"
	"jackdawtrack.example/jackdawtrack/pkg/standin"
)

var version = "dev" // set by the linker

func main() {
	app := kingpin.New("jackdawtrack-standin", "Stand-in backend servers for tests and experiments.")
	app.Version(version)
	path := app.Flag("settings", "Settings file (YAML).").Required().String()
	check := app.Flag("check", "Check the settings and exit.").Bool()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	if err := run(*path, *check); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(path string, check bool) error {
	cfg := standin.Settings{LogLevel: "info"}
	if err := settings.Load(path, &cfg); err != nil {
		return err
	}
	if err := logging.SetupText(cfg.LogLevel, os.Stderr); err != nil {
		return err
	}
	if check {
		fmt.Println("settings are valid")
		return nil
	}
	executions, err := standin.OpenExecutionLog(cfg.ExecutionFile)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	group, ctx := errgroup.WithContext(ctx)
	for _, s := range cfg.Servers {
		server, err := standin.NewServer(s, executions)
		if err != nil {
			return err
		}
		group.Go(func() error { return server.Serve(ctx) })
	}
	return group.Wait()
}
