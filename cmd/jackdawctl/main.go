// Command jackdawctl operates a fleet.
//
// Exit codes: 0 success, 1 the command was refused, 2 the command line or a
// local file is invalid, 3 no control host or router responded, or the outcome
// is unknown.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"jackdawtrack.example/jackdawtrack/pkg/cli"
)

// version is set by the linker.
var version = "development"

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	streams := cli.Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr}
	code := cli.Run(ctx, os.Args[1:], streams, version)
	stop()
	os.Exit(code)
}
