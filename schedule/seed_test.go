package schedule

import "flag"

// A fixed seed gives the same histories, and so the same verdict, on each run;
// -rapid.seed=0 draws new ones.
func init() { _ = flag.Set("rapid.seed", "20261204") }
