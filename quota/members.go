package quota

import (
	"sync"
	"time"

	"github.com/cardamompier/cardamompier/genlog"
	"github.com/cardamompier/cardamompier/membership"
)

// MembershipView implements Members with this host's membership view. Use NewMembershipView.
type MembershipView struct {
	self    string
	current func() *membership.View

	mu sync.Mutex
	// lastView is the membership view at the last refresh, and ids are its members
	// that are not leaving.
	lastView *membership.View
	ids      map[string]bool
	// changedAt is when ids last changed.
	changedAt time.Time
}

var _ Members = (*MembershipView)(nil)

// NewMembershipView returns a MembershipView of the host with the ID self. current returns the
// latest membership view of that host.
func NewMembershipView(self string, current func() *membership.View) *MembershipView {
	return &MembershipView{self: self, current: current, changedAt: time.Now()}
}

// Granter implements Members. It returns the first host in rendezvous order that is
// not leaving, or this host when there is none.
func (v *MembershipView) Granter(account string) (string, bool) {
	v.refresh()
	for _, m := range genlog.Rank("quota/"+account, v.current().Members) {
		if !m.Leaving {
			return m.InnerAddress, m.ID == v.self
		}
	}
	return "", true
}

// Count implements Members. The number includes hosts that are leaving.
func (v *MembershipView) Count() int { return len(v.current().Members) }

// ChangedAt implements Members. Leaving hosts do not count as entry hosts.
func (v *MembershipView) ChangedAt() time.Time {
	v.refresh()
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.changedAt
}

// refresh updates changedAt when the set of members that are not leaving has
// changed since the last call.
func (v *MembershipView) refresh() {
	latest := v.current()
	v.mu.Lock()
	defer v.mu.Unlock()
	if latest == v.lastView {
		return
	}
	v.lastView = latest
	ids, unchanged := map[string]bool{}, true
	for _, m := range latest.Members {
		if !m.Leaving {
			ids[m.ID] = true
			unchanged = unchanged && v.ids[m.ID]
		}
	}
	if !unchanged || len(ids) != len(v.ids) {
		v.ids, v.changedAt = ids, time.Now()
	}
}
