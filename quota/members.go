package quota

import (
	"sync"
	"time"

	"github.com/cardamompier/cardamompier/genlog"
	"github.com/cardamompier/cardamompier/membership"
)

// View tells who the entry hosts are by the membership's view.
type View struct {
	self    string
	current func() *membership.View

	mu        sync.Mutex
	seen      *membership.View
	ids       map[string]bool
	changedAt time.Time
}

var _ Members = (*View)(nil)

// NewView returns the members as the host self sees them.
func NewView(self string, current func() *membership.View) *View {
	return &View{self: self, current: current, changedAt: time.Now()}
}

// Granter implements Members.
func (v *View) Granter(account string) (string, bool) {
	v.refresh()
	for _, m := range genlog.Rank("quota/"+account, v.current().Members) {
		if !m.Leaving {
			return m.InnerAddress, m.ID == v.self
		}
	}
	return "", true
}

// Count implements Members.
func (v *View) Count() int { return len(v.current().Members) }

// ChangedAt implements Members.
func (v *View) ChangedAt() time.Time {
	v.refresh()
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.changedAt
}

// refresh notes when the set of members that are not leaving changes.
func (v *View) refresh() {
	now := v.current()
	v.mu.Lock()
	defer v.mu.Unlock()
	if now == v.seen {
		return
	}
	v.seen = now
	ids, same := map[string]bool{}, true
	for _, m := range now.Members {
		if !m.Leaving {
			ids[m.ID] = true
			same = same && v.ids[m.ID]
		}
	}
	if !same || len(ids) != len(v.ids) {
		v.ids, v.changedAt = ids, time.Now()
	}
}
