package schedule

import "flag"

// init fixes the seed of rapid, so that every run tests the same histories and
// has the same result. With -rapid.seed=0 each run draws new ones.
func init() { _ = flag.Set("rapid.seed", "20261204") }
