package dispatch

import "flag"

// init fixes the seed of the property tests, so that all runs have the same
// input. The flag -rapid.seed sets another one.
func init() {
	for name, value := range map[string]string{"rapid.seed": "20240817", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}
