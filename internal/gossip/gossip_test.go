package gossip_test

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/configuration"
	"github.com/lugspur/lugspur/internal/gossip"
	"github.com/lugspur/lugspur/internal/membership"
)

func TestStrictestKeepsLowestThresholds(t *testing.T) {
	var levels []gossip.ShedLevel
	for target := range uint32(3 * gossip.MaxShedLevels) {
		levels = append(levels, gossip.ShedLevel{Target: target, Threshold: uint16(500 - target)})
	}
	strictest := gossip.Strictest(levels)
	assert.Equal(t, len(strictest), gossip.MaxShedLevels)
	for i, level := range strictest {
		assert.Equal(t, level.Target, uint32(3*gossip.MaxShedLevels-1-i))
	}
}

func TestLargestPayloadFitsDatagram(t *testing.T) {
	payload := gossip.Payload{Digest: configuration.Digest{
		Floor: math.MaxInt64, Count: math.MaxUint32, ObjectSum: math.MaxUint64,
		TombstoneSum: math.MaxUint64, Collected: math.MaxInt64, DrainSum: math.MaxUint64,
	}, Version: math.MaxUint64, ClaimEpoch: math.MaxUint64}
	for range gossip.MaxShedLevels {
		payload.Levels = append(payload.Levels, gossip.ShedLevel{Target: math.MaxUint32, Threshold: math.MaxUint16})
	}
	encoded, err := payload.Encode()
	assert.NilError(t, err)
	assert.Assert(t, len(encoded) <= membership.MaxPayload, "%d bytes", len(encoded))
	decoded, err := gossip.Decode(encoded)
	assert.NilError(t, err)
	assert.DeepEqual(t, decoded, payload)
}

func TestDecodeRejectsInvalid(t *testing.T) {
	tooMany := gossip.Payload{Levels: make([]gossip.ShedLevel, gossip.MaxShedLevels+1)}
	encoded, err := tooMany.Encode()
	assert.NilError(t, err)
	for name, bytes := range map[string][]byte{"too many levels": encoded, "truncated payload": encoded[:5], "empty": nil} {
		t.Run(name, func(t *testing.T) {
			_, err := gossip.Decode(bytes)
			assert.Assert(t, err != nil)
		})
	}
}
