// Package fixedseed sets a fixed seed for the property tests of rapid, so that
// their result is reproducible. The flag -rapid.seed overrides it.
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
