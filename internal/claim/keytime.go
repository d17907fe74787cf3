package claim

import (
	"encoding/binary"
	"encoding/hex"
	"strings"
	"time"
)

const (
	uuidTextLength = 36
	uuidBytes      = 16
	// maximumClockSkew is the allowance for skew between the clocks of a caller
	// and a node. For short key lifetimes it is a quarter of the lifetime.
	maximumClockSkew = time.Minute
)

// keyTime returns the timestamp of a key that is a version 7 UUID (RFC 9562).
func keyTime(key string) (time.Time, bool) {
	if len(key) != uuidTextLength || strings.Count(key, "-") != 4 {
		return time.Time{}, false
	}
	id, err := hex.DecodeString(strings.ReplaceAll(key, "-", ""))
	if err != nil || len(id) != uuidBytes || id[6]>>4 != 7 {
		return time.Time{}, false
	}
	milliseconds := binary.BigEndian.Uint64(id[:8]) >> 16
	return time.UnixMilli(int64(milliseconds)), true
}

// keyExpired reports whether the key's timestamp is so old that replicas may
// have expired its claim.
func keyExpired(key string, roster Roster, now time.Time) bool {
	issued, ok := keyTime(key)
	if !ok {
		return false
	}
	lifetime := roster.KeyLifetime()
	return now.Sub(issued) > lifetime-min(maximumClockSkew, lifetime/4)
}
