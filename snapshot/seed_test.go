package snapshot

import "flag"

// init sets a fixed seed, so that each run generates the same inputs and has the
// same result. With -rapid.seed=0 each run generates new inputs.
func init() { _ = flag.Set("rapid.seed", "20261204") }
