package limiter

import "flag"

// init fixes the seed of property tests, so that runs are reproducible. The flag
// -rapid.seed selects another seed.
func init() {
	for name, value := range map[string]string{"rapid.seed": "20240817", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}
