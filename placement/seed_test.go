package placement

import "flag"

// A fixed seed makes rapid draw the same histories, and so give the same result,
// in each run; -rapid.seed=0 draws new ones.
func init() { _ = flag.Set("rapid.seed", "20261204") }
