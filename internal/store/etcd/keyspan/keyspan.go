// Package keyspan implements the half-open key intervals of the etcd v3 API.
package keyspan

// unboundedEnd is the End of a span without an upper bound.
const unboundedEnd = "\x00"

// Span is a half-open interval of keys in etcd's encoding: with an empty End it
// contains only the key From, with an End of one zero byte every key from From on.
type Span struct {
	From string
	End  string
}

// Prefix returns the span of all keys that have the prefix.
func Prefix(prefix string) Span {
	if prefix == "" {
		return Span{From: unboundedEnd, End: unboundedEnd}
	}
	end := []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return Span{From: prefix, End: string(end[:i+1])}
		}
	}
	return Span{From: prefix, End: unboundedEnd}
}

// Contains reports whether the key lies in the span.
func (s Span) Contains(key string) bool {
	switch s.End {
	case "":
		return key == s.From
	case unboundedEnd:
		return key >= s.From
	default:
		return key >= s.From && key < s.End
	}
}
