package membership

import "math"

// hostListKey is the rendezvous key that selects the members that read the
// platform's host list.
const hostListKey = "host-list"

// minPollers is the least number of members that read the host list.
const minPollers = 3

// HostListPollers reports whether this host reads the platform's host list for
// other hosts. If not, it returns the inner addresses of the hosts that do, in
// an order specific to this host. The number of these readers and the number of
// hosts that query each reader grow with the square root of the member count.
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
