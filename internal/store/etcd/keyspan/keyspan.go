// Package keyspan has the half-open intervals of keys that the etcd v3 API uses.
package keyspan

// endOfKeys as the end of a span means that the span has no upper bound.
const endOfKeys = "\x00"

// Span is a half-open interval of keys as etcd writes it: an empty End is the
// single key From, an End of one zero byte is every key from From on.
type Span struct {
	From string
	End  string
}

// Prefix returns the span of all keys that have the prefix.
func Prefix(prefix string) Span {
	if prefix == "" {
		return Span{From: endOfKeys, End: endOfKeys}
	}
	end := []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return Span{From: prefix, End: string(end[:i+1])}
		}
	}
	return Span{From: prefix, End: endOfKeys}
}

// Contains reports whether the key lies in the span.
func (s Span) Contains(key string) bool {
	switch s.End {
	case "":
		return key == s.From
	case endOfKeys:
		return key >= s.From
	default:
		return key >= s.From && key < s.End
	}
}
