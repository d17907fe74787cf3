package gossip

import (
	"github.com/lugspur/lugspur/internal/configuration"
	"github.com/lugspur/lugspur/internal/membership"
)

// Members shows a membership as the configuration sees nodes. It is safe for
// concurrent use.
type Members struct{ Membership *membership.Membership }

// Members returns the nodes known now.
func (m Members) Members() []configuration.Member {
	known := m.Membership.Members()
	members := make([]configuration.Member, 0, len(known))
	for _, member := range known {
		members = append(members, ConfigurationMember(member))
	}
	return members
}

// ConfigurationMember returns a member as the configuration sees it.
func ConfigurationMember(member membership.Member) configuration.Member {
	return configuration.Member{
		Name:        member.Name,
		Zone:        member.Zone,
		PeerAddress: member.PeerAddress,
		Live:        member.State.Live(),
	}
}
