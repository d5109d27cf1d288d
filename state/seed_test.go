package state

import "flag"

// A fixed seed makes each run draw the same histories; -rapid.seed=0 draws new
// ones.
func init() { _ = flag.Set("rapid.seed", "20261204") }
