// Command measure prints the measurements of the request scheduling policy and
// exits with status 1 if one of them is out of its bound.
package main

import (
	"os"
	"strconv"

	"github.com/alecthomas/kingpin/v2"

	"jackdawtrack.example/jackdawtrack/internal/measure"
)

func main() {
	scenario := kingpin.Flag("scenario", "Run only this scenario.").String()
	seed := kingpin.Flag("seed", "Seed of the random input.").Default(strconv.Itoa(measure.DefaultSeed)).Int64()
	detail := kingpin.Flag("detail", "Print what the figures are made of.").Bool()
	kingpin.Parse()
	if !measure.Run(os.Stdout, *scenario, *seed, *detail) {
		os.Exit(1)
	}
}
