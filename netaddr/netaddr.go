// Package netaddr checks the texts of network addresses.
package netaddr

import "net/netip"

// IsDialable reports whether text is an address that others can connect to: the IP number of one machine
// and a port other than zero.
func IsDialable(text string) bool {
	address, err := netip.ParseAddrPort(text)
	return err == nil && address.Port() != 0 && !address.Addr().IsUnspecified() && !address.Addr().IsMulticast()
}
