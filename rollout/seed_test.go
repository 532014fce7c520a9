package rollout

import "flag"

// init fixes the seed of the property tests. The flag -rapid.seed overrides it.
func init() { _ = flag.Set("rapid.seed", "1") }
