package cluster

import (
	"testing"

	"gotest.tools/v3/assert"
)

// No two nodes of a process may be given the same port, even while neither
// listens.
func TestPortsAreGivenOutOnce(t *testing.T) {
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
