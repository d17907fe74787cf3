package chaos

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/lab/emulator"
	"github.com/lugspur/lugspur/lab/faultproxy"
	"github.com/lugspur/lugspur/lab/kvstore"
)

func TestGeneratedFaultsAreValid(t *testing.T) {
	m := loadMesh(t)
	for seed := range uint64(20) {
		for _, fault := range NewSchedule(m, 2, seed, testDuration) {
			switch fault.Kind {
			case PartitionZone, PartitionAll, DropResponses, DropDatagrams:
				faults := networkFaults(fault)
				assert.NilError(t, faults.ToUpstream.Validate())
				assert.NilError(t, faults.ToClient.Validate())
				assert.Assert(t, faults != faultproxy.RouteFaults{}, "%s has no effect", fault.Kind)
			case StoreRefuse, StoreHang, StoreUnavailable, StoreDropResponses:
				server := kvstore.New(kvstore.Config{})
				assert.NilError(t, server.Control(storeControl(fault)))
				assert.Assert(t, server.Status().Faults != kvstore.Faults{}, "%s has no effect", fault.Kind)
				server.Close()
			case SlowService, TargetSlow, TargetTruncate, TargetReset, TargetFreeze, TargetDown, TargetMisreport:
				faults := targetFaults(fault)
				assert.NilError(t, faults.Validate())
				assert.Assert(t, faults != emulator.Faults{}, "%s has no effect", fault.Kind)
			}
		}
	}
}

func TestDroppedResponsesDoNotBlockRequests(t *testing.T) {
	faults := networkFaults(Fault{Kind: DropResponses})
	assert.Equal(t, faults.ToUpstream, faultproxy.Faults{})
	assert.Equal(t, faults.ToClient.Cut, faultproxy.CutBlackhole)
}
