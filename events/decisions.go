package events

import "github.com/hashicorp/go-hclog"

// Events of decisions under load: 1800 to 1899.
var (
	CrashEvidence = define(1800, "crash evidence", hclog.Warn, "An upstream died without notice while it ran a request, or a suspect passed its trial.")
)
