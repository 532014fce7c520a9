package gossip

import (
	"sort"
	"strings"
	"sync"
	"time"
)

// Item is one versioned value.
type Item struct {
	Name    string `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint"`
	Value   []byte `cbor:"3,keyasint,omitempty"`
	// Owner is the only host that writes the name; its values are dropped when
	// the owner is dead. Empty for a value that outlives its writer.
	Owner string `cbor:"4,keyasint,omitempty"`
}

// stored is an item with the local time at which it was learned.
type stored struct {
	Item
	at time.Time
}

// subscriber is called for names that match.
type subscriber struct {
	name   string
	prefix bool
	notify func(Item)
}

func (s *subscriber) matches(name string) bool {
	return name == s.name || (s.prefix && strings.HasPrefix(name, s.name))
}

// Table holds the newest version of each name. Use NewTable. All methods may
// be called at any time from any goroutine.
type Table struct {
	self string

	mu          sync.Mutex
	items       map[string]stored
	gone        map[string]bool // owners whose values are not taken
	subscribers []*subscriber
	onNew       func(item Item, from string)
	filter      func(Item) bool
	// pending are calls of subscribers that were not made yet; one goroutine at
	// a time makes them, in order.
	pending   []func()
	notifying bool
}

// NewTable returns an empty table of the host self.
func NewTable(self string) *Table {
	return &Table{self: self, items: map[string]stored{}, gone: map[string]bool{}}
}

// Set stores a value that outlives its writer and spreads it. It reports
// whether the version was newer than the known one. The value is not copied
// and must not be changed afterwards.
func (t *Table) Set(name string, version uint64, value []byte) bool {
	return t.put(Item{Name: name, Version: version, Value: value}, "")
}

// SetOwned is Set for a name that only this host writes, for example
// "load/<host>"; other hosts drop it when this host is dead.
func (t *Table) SetOwned(name string, version uint64, value []byte) bool {
	return t.put(Item{Name: name, Version: version, Value: value, Owner: t.self}, "")
}

// Get returns the newest known version of a name; ok is false for none.
func (t *Table) Get(name string) (version uint64, value []byte, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	item, ok := t.items[name]
	return item.Version, item.Value, ok
}

// List returns the items under a prefix in order of their names.
func (t *Table) List(prefix string) []Item {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Item
	for name, item := range t.items {
		if strings.HasPrefix(name, prefix) {
			out = append(out, item.Item)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// Subscribe calls notify with the known version of a name, if there is one,
// and with each newer one. Calls come one at a time, in order of the versions,
// and must not block; they may use the table.
func (t *Table) Subscribe(name string, notify func(version uint64, value []byte)) {
	t.subscribe(&subscriber{name: name, notify: func(item Item) { notify(item.Version, item.Value) }})
}

// SubscribePrefix is Subscribe for all names under a prefix.
func (t *Table) SubscribePrefix(prefix string, notify func(Item)) {
	t.subscribe(&subscriber{name: prefix, prefix: true, notify: notify})
}

func (t *Table) subscribe(s *subscriber) {
	t.mu.Lock()
	t.subscribers = append(t.subscribers, s)
	for name, item := range t.items {
		if s.matches(name) {
			t.pending = append(t.pending, func() { s.notify(item.Item) })
		}
	}
	t.notify()
}

// notify makes the pending calls, unless another goroutine is at it. It is
// entered with the table locked and unlocks it.
func (t *Table) notify() {
	if t.notifying {
		t.mu.Unlock()
		return
	}
	t.notifying = true
	for len(t.pending) > 0 {
		calls := t.pending
		t.pending = nil
		t.mu.Unlock()
		for _, call := range calls {
			call()
		}
		t.mu.Lock()
	}
	t.notifying = false
	t.mu.Unlock()
}

// DropOwner removes the values of an owner that is dead and takes no more of
// them until AllowOwner.
func (t *Table) DropOwner(owner string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.gone[owner] = true
	for name, item := range t.items {
		if item.Owner == owner {
			delete(t.items, name)
		}
	}
}

// AllowOwner takes values of an owner again.
func (t *Table) AllowOwner(owner string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.gone, owner)
}

// Filter sets a function that refuses items; it is called before each new item
// and must not use the table. Set it before the table is used.
func (t *Table) Filter(accepts func(Item) bool) { t.filter = accepts }

// Remove forgets a name on this host only, for example after its retention.
func (t *Table) Remove(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.items, name)
}

// put stores an item that is newer than the known one. From is the address of
// the host that sent it; empty for this host.
func (t *Table) put(item Item, from string) bool {
	if t.filter != nil && !t.filter(item) {
		return false
	}
	t.mu.Lock()
	known, ok := t.items[item.Name]
	if (ok && item.Version <= known.Version) || t.gone[item.Owner] {
		t.mu.Unlock()
		return false
	}
	t.items[item.Name] = stored{Item: item, at: time.Now()}
	if t.onNew != nil {
		t.onNew(item, from)
	}
	for _, s := range t.subscribers {
		if s.matches(item.Name) {
			t.pending = append(t.pending, func() { s.notify(item) })
		}
	}
	t.notify()
	return true
}

// wants reports whether a version is newer than the known one.
func (t *Table) wants(d digest) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	known, ok := t.items[d.Name]
	return (!ok || d.Version > known.Version) && !t.gone[d.Owner]
}
