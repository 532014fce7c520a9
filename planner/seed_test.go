package planner

import "flag"

// The property tests begin with a fixed seed unless the command line gives one.
func init() { _ = flag.Set("rapid.seed", "1") }
