// Package earlysignal asks for SIGHUP when it is initialized. A SIGHUP ends a process that
// has not asked for it, and the other packages of a program take some milliseconds to be
// initialized, more on a busy machine. The settings are read later, so a SIGHUP that
// arrives before needs no other effect.
//
// It does not close the window between the start of a process and this package. A process
// that is started with SIGHUP ignored has none.
package earlysignal

import (
	"os"
	"os/signal"
	"syscall"
)

func init() { signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP) }
