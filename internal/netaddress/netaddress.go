// Package netaddress checks the network addresses that other processes write.
package netaddress

import (
	"errors"
	"net/netip"
)

// ErrUnusable means that no node or target can be reached at an address.
var ErrUnusable = errors.New("not an IP address with a port from 1 to 65535")

// Validate returns ErrUnusable unless the address is that of one host, as an IP address, and has a
// port from 1 to 65535.
func Validate(address string) error {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil || parsed.Port() == 0 || parsed.Addr().IsUnspecified() || parsed.Addr().IsMulticast() {
		return ErrUnusable
	}
	return nil
}
