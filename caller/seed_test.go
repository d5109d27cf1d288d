package caller

import "flag"

// init sets a fixed seed, so that each run draws the same histories and has the
// same result. With -rapid.seed=0 a run draws new ones.
func init() { _ = flag.Set("rapid.seed", "20261204") }
