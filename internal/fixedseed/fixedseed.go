// Package fixedseed gives rapid a fixed seed, so that every test run has the
// same verdict. The flag -rapid.seed on the command line goes before it.
package fixedseed

import (
	"flag"

	_ "pgregory.net/rapid" // defines the flag
)

const seed = "20261204"

func init() {
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(err)
	}
}
