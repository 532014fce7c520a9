package membership

import "math"

// hostListKey orders the members that read the platform's host list.
const hostListKey = "host-list"

// minPollers read the host list at least.
const minPollers = 3

// HostListPollers returns whether this host reads the platform's host list
// for others, and the inner addresses of the hosts that do, in an order of
// this host's own. Their number grows with the square root of the members, as
// does the number of hosts that ask each.
func (r *Registry) HostListPollers() (self bool, addresses []string) {
	v := r.View()
	own := r.Options.Self.ID
	count := max(minPollers, int(math.Ceil(math.Sqrt(float64(len(v.Members))))))
	for _, m := range choose(v.Chosen(hostListKey, count), own, count) {
		if m.ID == own {
			return true, nil
		}
		addresses = append(addresses, m.InnerAddress)
	}
	return false, addresses
}
