package events

import "github.com/hashicorp/go-hclog"

// The events of requests that move between hosts have the numbers 1700 to 1799.
var (
	RequestFenced     = define(1700, "request fenced", hclog.Warn, "Another entry host owns the request under a higher epoch; this host stops running it.")
	RequestTakenOver  = define(1701, "request taken over", hclog.Info, "This host continues a request because the entry host that owned it left or died.")
	RequestHandedOver = define(1702, "request handed over", hclog.Info, "This host is stopping and handed a running request over to the entry host that holds its copy.")
	StreamMoved       = define(1703, "stream moved", hclog.Info, "A generation continues at another model engine; way is how its state was moved.")
	StreamResumed     = define(1704, "stream resumed", hclog.Info, "Reading a generation from the same model engine continues after the connection broke.")
	HostNoticed       = define(1706, "host noticed", hclog.Warn, "The platform's list says that this entry host is leaving.")
	DrainIncomplete   = define(1705, "drain incomplete", hclog.Warn, "Requests without a copy on another entry host were cut off at the end of the drain timeout.")
)
