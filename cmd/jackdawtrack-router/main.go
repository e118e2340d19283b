// Command jackdawtrack-router runs the routers of one entry host. The first
// SIGINT or SIGTERM drains requests, the second aborts them.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"jackdawtrack.example/jackdawtrack/pkg/logging"
	"jackdawtrack.example/jackdawtrack/pkg/router"
	"jackdawtrack.example/jackdawtrack/pkg/settings"
)

// version is set by the linker.
var version = "development"

func main() {
	app := kingpin.New("jackdawtrack-router", "Routes requests of workspaces to backend servers.")
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
	cfg := router.NewConfig()
	if err := settings.Load(path, cfg); err != nil {
		return err
	}
	if err := logging.SetupText(cfg.LogLevel, os.Stderr); err != nil {
		return err
	}
	if check {
		fmt.Println("settings are valid")
		return nil
	}
	service, err := router.NewService(cfg)
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	graceful, beginShutdown := context.WithCancel(context.Background())
	forced, forceShutdown := context.WithCancel(context.Background())
	go func() {
		<-signals
		beginShutdown()
		<-signals
		forceShutdown()
	}()
	return service.Run(graceful, forced)
}
