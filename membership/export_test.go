package membership

// BeforeTick sets what runs before each round of the probe loop.
func (r *Registry) BeforeTick(run func()) { r.beforeTick = run }

// Bounds that the checker uses.
const (
	SuspicionTimeout = suspicionTimeout
	RevivalInterval  = revivalInterval
)

// Knows returns the record of a member, ended ones included.
func (r *Registry) Knows(id string) (Member, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m, ok := r.members[id]
	return m, ok
}
