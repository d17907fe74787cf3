package mesh

import (
	"fmt"
	"maps"
	"net"
	"slices"
	"strings"
)

// ZoneAddresses are addresses by zone. It is a flag.Value of zone=address pairs,
// separated by commas. It may be set several times; a zone may have several
// addresses.
type ZoneAddresses map[string][]string

// String returns the pairs, sorted by zone.
func (z *ZoneAddresses) String() string {
	var pairs []string
	for _, zone := range slices.Sorted(maps.Keys(*z)) {
		for _, address := range (*z)[zone] {
			pairs = append(pairs, zone+"="+address)
		}
	}
	return strings.Join(pairs, ",")
}

// Set adds the pairs of text.
func (z *ZoneAddresses) Set(text string) error {
	if *z == nil {
		*z = make(ZoneAddresses)
	}
	for pair := range strings.SplitSeq(text, ",") {
		zone, address, ok := strings.Cut(pair, "=")
		if !ok || zone == "" {
			return fmt.Errorf("%q isn't zone=address", pair)
		}
		if _, _, err := net.SplitHostPort(address); err != nil {
			return fmt.Errorf("zone %s: %w", zone, err)
		}
		(*z)[zone] = append((*z)[zone], address)
	}
	return nil
}

// First returns the first address of each zone.
func (z ZoneAddresses) First() map[string]string {
	first := make(map[string]string, len(z))
	for zone, addresses := range z {
		if len(addresses) > 0 {
			first[zone] = addresses[0]
		}
	}
	return first
}
