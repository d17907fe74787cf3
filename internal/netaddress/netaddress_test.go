package netaddress

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestAddressesOfHostsAreUsable(t *testing.T) {
	for _, address := range []string{"127.0.0.1:1", "10.128.0.9:65535", "[::1]:8300", "[fe80::1%eth0]:8300"} {
		assert.NilError(t, Validate(address), address)
	}
}

func TestOtherTextsAreNoAddresses(t *testing.T) {
	for _, address := range []string{
		"", ":", ":8300", "nonsense", "localhost:8300", "10.0.0.1", "10.0.0.1:", "10.0.0.1:0", "10.0.0.1:65536", "10.0.0.1:99999", "10.0.0.1:-1", "10.0.0.1:8300 ",
		"10.0.0.256:8300", "10.0.1:8300", "::1:8300", "[::1]", "0.0.0.0:8300", "[::]:8300", "224.0.0.1:8300", "http://10.0.0.1:8300", "10.0.0.1:8300/x",
		"10.0.0.1:\x00", strings.Repeat("1", 1<<20),
	} {
		assert.ErrorIs(t, Validate(address), ErrUnusable, "%.40q", address)
	}
}
