// Command cmd takes the measurements of docs/CAPACITY.md on one machine.
package main

import (
	"fmt"
	"os"

	"jackdawtrack.example/jackdawtrack/internal/capacity"
)

func main() {
	if err := capacity.Run(os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
