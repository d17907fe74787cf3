package gossip

import (
	"github.com/lugspur/lugspur/internal/configuration"
	"github.com/lugspur/lugspur/internal/membership"
)

// Members adapts a Membership to the member list that the configuration package expects. It is
// safe for concurrent use.
type Members struct{ Membership *membership.Membership }

// Members returns all members in the list of the Membership, including tombstones.
func (m Members) Members() []configuration.Member {
	known := m.Membership.Members()
	members := make([]configuration.Member, 0, len(known))
	for _, member := range known {
		members = append(members, ConfigurationMember(member))
	}
	return members
}

// ConfigurationMember converts a membership.Member to a configuration.Member.
func ConfigurationMember(member membership.Member) configuration.Member {
	return configuration.Member{
		Name:        member.Name,
		Zone:        member.Zone,
		PeerAddress: member.PeerAddress,
		Live:        member.State.Live(),
	}
}
