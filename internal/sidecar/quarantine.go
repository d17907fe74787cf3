package sidecar

import (
	"context"

	"github.com/samber/oops"

	"github.com/lugspur/lugspur/internal/fingerprint"
	"github.com/lugspur/lugspur/internal/quarantine"
	"github.com/lugspur/lugspur/internal/store"
	"github.com/lugspur/lugspur/internal/store/epoch"
	"github.com/lugspur/lugspur/platform"
)

// purposeOperator is the purpose of store calls from the command line.
const purposeOperator store.Purpose = "operator"

// ListQuarantined returns the quarantined requests in the store at the address.
func ListQuarantined(ctx context.Context, address string) ([]quarantine.Entry, error) {
	listed, err := quarantine.List(ctx, operatorStore(address), platform.QuarantinePrefix)
	if err != nil {
		return nil, oops.In("sidecar").With("step", "list quarantined requests").With("peer", address).Wrap(err)
	}
	return listed, nil
}

// LiftQuarantine removes a request from quarantine.
func LiftQuarantine(ctx context.Context, address string, hash fingerprint.Fingerprint) error {
	err := quarantine.Lift(ctx, operatorStore(address), platform.QuarantinePrefix, hash)
	if err != nil {
		return oops.In("sidecar").With("step", "lift quarantine").With("peer", address).Wrap(err)
	}
	return nil
}

func operatorStore(address string) store.Store {
	return platform.NewStore(address, recordsWatchTimeout, nil, epoch.NewTracker()).WithPurpose(purposeOperator)
}
