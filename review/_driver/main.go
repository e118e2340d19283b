package main

import (
	"fmt"
	"os"
)

var cases = map[string]func(r *run){
	"target":     playTarget,
	"withdrawal": playWithdrawal,
	"upgrade":    playUpgrade,
	"oddentry":   playOddEntry,
	"memory":     playMemory,
	"power":      playPower,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: driver CASE RECORD")
		os.Exit(2)
	}
	cases[os.Args[1]](newRun(os.Args[2]))
}
