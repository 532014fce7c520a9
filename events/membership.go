package events

import "github.com/hashicorp/go-hclog"

// The events of the failure detection between entry hosts have the numbers 1304 to 1319.
var (
	MemberSuspected  = define(1304, "member suspected", hclog.Info, "An entry host did not answer probes; it gets no new callers until it refutes the suspicion.")
	MemberLeaving    = define(1305, "member leaving", hclog.Info, "An entry host announced that it leaves.")
	MemberRefuted    = define(1306, "record refuted", hclog.Info, "Other entry hosts had recorded this host as suspect or dead; it refuted the record by raising its incarnation number.")
	MemberUnreadable = define(1308, "member record unreadable", hclog.Warn, "The record of an entry host cannot be decoded; it is ignored.")
	MembersChanged   = define(1309, "members changed", hclog.Info, "The set of entry hosts in the key-value service changed.")
	OwnPause         = define(1307, "own pause noticed", hclog.Warn, "This process was paused for a while; the failure detection of other hosts ignores that time.")
)

// The events of leaving upstreams have the numbers 1320 to 1329.
var (
	UpstreamLeaving = define(1320, "upstream leaving", hclog.Info, "An upstream announced that it is leaving, to this host or to a peer; it gets no new work.")
)
