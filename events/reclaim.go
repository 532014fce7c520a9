package events

import "github.com/hashicorp/go-hclog"

// Events of requests that move between hosts: 1700 to 1799.
var (
	RequestFenced     = define(1700, "request fenced", hclog.Warn, "Another entry host owns the request under a higher epoch; the run here stops.")
	RequestTakenOver  = define(1701, "request taken over", hclog.Info, "This host carries a request on whose owner left or is gone.")
	RequestHandedOver = define(1702, "request handed over", hclog.Info, "This host is stopping and left a running request to its holder.")
	StreamMoved       = define(1703, "stream moved", hclog.Info, "A generation goes on at another engine; way says what was moved.")
	StreamResumed     = define(1704, "stream resumed", hclog.Info, "A generation is read on from the same engine after its connection broke.")
	HostNoticed       = define(1706, "host noticed", hclog.Warn, "The platform's list says that this entry host is leaving.")
	DrainIncomplete   = define(1705, "drain incomplete", hclog.Warn, "Requests without a copy were cut at the end of the drain timeout.")
)
