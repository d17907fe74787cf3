package chaos

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/lab/emulator"
	"github.com/lugspur/lugspur/lab/faultproxy"
	"github.com/lugspur/lugspur/lab/kvstore"
)

func TestDrawnFaultsAreValidFaults(t *testing.T) {
	m := loadMesh(t)
	for seed := range uint64(20) {
		for _, fault := range NewSchedule(m, 2, seed, testDuration) {
			switch fault.Kind {
			case CutZone, CutAll, LoseAnswers, LoseDatagrams:
				faults := networkFaults(fault)
				assert.NilError(t, faults.ToUpstream.Validate())
				assert.NilError(t, faults.ToClient.Validate())
				assert.Assert(t, faults != faultproxy.RouteFaults{}, "%s changes nothing", fault.Kind)
			case StoreRefuse, StoreHang, StoreUnavailable, StoreLostAnswers:
				server := kvstore.New(kvstore.Config{})
				assert.NilError(t, server.Control(storeControl(fault)))
				assert.Assert(t, server.Status().Faults != kvstore.Faults{}, "%s changes nothing", fault.Kind)
				server.Close()
			case SlowService, TargetSlow, TargetTruncate, TargetReset, TargetFreeze, TargetDown, TargetLie:
				faults := targetFaults(fault)
				assert.NilError(t, faults.Validate())
				assert.Assert(t, faults != emulator.Faults{}, "%s changes nothing", fault.Kind)
			}
		}
	}
}

func TestLostAnswersLeaveTheWayInOpen(t *testing.T) {
	faults := networkFaults(Fault{Kind: LoseAnswers})
	assert.Equal(t, faults.ToUpstream, faultproxy.Faults{})
	assert.Equal(t, faults.ToClient.Cut, faultproxy.CutBlackhole)
}
