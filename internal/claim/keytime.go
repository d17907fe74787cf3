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
	// maximumClockSkew is allowed between a caller's clock and a node's; for
	// short lifetimes it is a quarter of them.
	maximumClockSkew = time.Minute
)

// keyTime returns the time in a key that is a UUID of version 7 (RFC 9562).
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

// keyExpired tells whether the key shows that it is so old that replicas may
// have forgotten its claim.
func keyExpired(key string, roster Roster, now time.Time) bool {
	issued, ok := keyTime(key)
	if !ok {
		return false
	}
	lifetime := roster.KeyLifetime()
	return now.Sub(issued) > lifetime-min(maximumClockSkew, lifetime/4)
}
