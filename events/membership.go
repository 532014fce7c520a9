package events

import "github.com/hashicorp/go-hclog"

// Events of the failure detection between entry hosts: 1304 to 1319.
var (
	MemberSuspected  = define(1304, "member suspected", hclog.Info, "An entry host did not answer probes; it gets no new callers until it refutes.")
	MemberLeaving    = define(1305, "member leaving", hclog.Info, "An entry host announced that it leaves.")
	MemberRefuted    = define(1306, "record refuted", hclog.Info, "Others had recorded this host as suspect or dead; it raised its incarnation.")
	MemberUnreadable = define(1308, "member record unreadable", hclog.Warn, "A record of an entry host cannot be read; it is left out.")
	MembersChanged   = define(1309, "members changed", hclog.Info, "The set of entry hosts in the key-value service changed.")
	OwnPause         = define(1307, "own pause noticed", hclog.Warn, "This process did not run for a while; the time does not count against others.")
)

// Events of leaving upstreams: 1320 to 1329.
var (
	UpstreamLeaving = define(1320, "upstream leaving", hclog.Info, "An upstream said, or another host was told, that it is leaving; it gets no new work.")
)
