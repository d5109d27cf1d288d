package member

import "flag"

// A fixed seed makes rapid generate the same cases, and so give the same result,
// on each run; -rapid.seed=0 generates new ones.
func init() { _ = flag.Set("rapid.seed", "20261204") }
