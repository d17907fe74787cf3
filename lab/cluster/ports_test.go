package cluster

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Two nodes of one process must not get the same port, even if neither listens
// yet.
func TestPortsAreUnique(t *testing.T) {
	seen := map[string]bool{}
	for range 50 {
		addresses, err := freeAddresses()
		assert.NilError(t, err)
		for _, address := range []string{addresses.Edge, addresses.Mesh, addresses.Peer, addresses.Admin} {
			assert.Assert(t, !seen[address], address)
			seen[address] = true
		}
	}
}
