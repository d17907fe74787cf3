package callcontext

import (
	"encoding/base64"
	"errors"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"github.com/lugspur/lugspur/internal/criticality"
)

func newTestContext() Context {
	return Context{
		RequestID: NewRequestID(),
		Span:      NewSpanID(),
		Ingress:   netip.MustParseAddrPort("10.0.0.1:7402"),
		Deadline:  time.UnixMilli(1_780_000_000_123),
		Rank:      criticality.Rank{Level: criticality.Critical, Cohort: 99},
		Hops:      3,
		Caller:    "grower-7",
	}
}

func mustEncode(t *testing.T, c Context) string {
	t.Helper()
	value, err := c.Encode()
	assert.NilError(t, err)
	return value
}

func assertSameContext(t *testing.T, got, want Context) {
	t.Helper()
	assert.Check(t, got.Deadline.Equal(want.Deadline), "deadline %s, not %s", got.Deadline, want.Deadline)
	got.Deadline = want.Deadline
	assert.Check(t, cmp.Equal(got, want))
}

func TestRoundTrip(t *testing.T) {
	lowest, ipv6 := newTestContext(), newTestContext()
	lowest.Rank, lowest.Caller, lowest.Hops = criticality.Lowest, strings.Repeat("é", maxCallerLength/2), MaxHops
	ipv6.Ingress = netip.MustParseAddrPort("[fe80::1]:1")
	for name, want := range map[string]Context{"plain": newTestContext(), "bounds": lowest, "IPv6": ipv6} {
		t.Run(name, func(t *testing.T) {
			got, err := Decode(mustEncode(t, want))
			assert.NilError(t, err)
			assertSameContext(t, got, want)
		})
	}
}

func encodeWire(modify func(*wireContext)) string {
	id := NewRequestID()
	ingress, _ := netip.MustParseAddrPort("10.0.0.1:7402").MarshalBinary()
	span := NewSpanID()
	w := wireContext{RequestID: id[:], IngressAddress: ingress, Span: span[:]}
	modify(&w)
	encoded, _ := cbor.Marshal(w)
	return versionPrefix + base64.RawURLEncoding.EncodeToString(encoded)
}

func TestDecodeRejectsMalformedValue(t *testing.T) {
	valid := encodeWire(func(*wireContext) {})
	_, err := Decode(valid)
	assert.NilError(t, err)
	for name, value := range map[string]string{
		"empty":           "",
		"other version":   "v2." + strings.TrimPrefix(valid, versionPrefix),
		"not base64":      versionPrefix + "!!!",
		"not CBOR":        versionPrefix + "____",
		"cut":             valid[:len(valid)-4],
		"trailing data":   valid + "AAAA",
		"too long":        encodeWire(func(w *wireContext) { w.Caller = strings.Repeat("x", MaxEncodedLength) }),
		"short id":        encodeWire(func(w *wireContext) { w.RequestID = w.RequestID[:15] }),
		"ingress address": encodeWire(func(w *wireContext) { w.IngressAddress = []byte{1, 2, 3} }),
		"short span":      encodeWire(func(w *wireContext) { w.Span = w.Span[:3] }),
		"rank":            encodeWire(func(w *wireContext) { w.Rank = criticality.RankCount }),
		"hops":            encodeWire(func(w *wireContext) { w.Hops = MaxHops + 1 }),
		"caller":          encodeWire(func(w *wireContext) { w.Caller = strings.Repeat("x", maxCallerLength+1) }),
	} {
		t.Run(name, func(t *testing.T) {
			_, err := Decode(value)
			assert.ErrorIs(t, err, ErrMalformed)
		})
	}
}

func TestFromHeader(t *testing.T) {
	want := newTestContext()
	value := mustEncode(t, want)
	for name, c := range map[string]struct {
		lines []string
		err   error
	}{
		"none":              {nil, ErrAbsent},
		"others only":       {[]string{"a=1,b=2", "xlugspur=" + value, "lugspurx=" + value}, ErrAbsent},
		"alone":             {[]string{"lugspur=" + value}, nil},
		"among others":      {[]string{"a=1", " b=2 , lugspur = " + value + " ;property=1 ,c=3"}, nil},
		"malformed":         {[]string{"lugspur=nonsense"}, ErrMalformed},
		"without value":     {[]string{"lugspur"}, ErrMalformed},
		"baggage too large": {[]string{"a=" + strings.Repeat("x", MaxBaggageLength), "lugspur=" + value}, ErrMalformed},
	} {
		t.Run(name, func(t *testing.T) {
			got, err := FromHeader(http.Header{BaggageHeader: c.lines})
			if c.err != nil {
				assert.ErrorIs(t, err, c.err)
				return
			}
			assert.NilError(t, err)
			assertSameContext(t, got, want)
		})
	}
}

func TestStripKeepsOtherMembers(t *testing.T) {
	for name, c := range map[string]struct {
		lines []string
		want  []string
	}{
		"absent":         {nil, nil},
		"alone":          {[]string{"lugspur=x"}, nil},
		"among others":   {[]string{"a=1, lugspur=x;p=1", "b=2;q=3"}, []string{"a=1,b=2;q=3"}},
		"several":        {[]string{"lugspur=x,a=1,lugspur =y", "lugspur=z"}, []string{"a=1"}},
		"similar names":  {[]string{"lugspurs=x,Lugspur=y"}, []string{"lugspurs=x,Lugspur=y"}},
		"empty members":  {[]string{",,a=1,"}, []string{"a=1"}},
		"without equals": {[]string{"lugspur,a"}, []string{"a"}},
	} {
		t.Run(name, func(t *testing.T) {
			header := http.Header{}
			if c.lines != nil {
				header[BaggageHeader] = c.lines
			}
			RemoveFromHeader(header)
			assert.DeepEqual(t, header[BaggageHeader], c.want)
		})
	}
}

// Baggage of a caller, even of the maximum length, must not prevent a context that
// a node adds to it from being decoded.
func TestSetHeaderRoundTrip(t *testing.T) {
	for name, others := range map[string][]string{
		"none":             nil,
		"one":              {"a=1"},
		"old context":      {"lugspur=old,a=1"},
		"largest allowed":  {"a=" + strings.Repeat("x", MaxBaggageLength-2)},
		"larger, in lines": {"a=" + strings.Repeat("x", MaxBaggageLength-2), "b=" + strings.Repeat("x", 100)},
	} {
		t.Run(name, func(t *testing.T) {
			want := newTestContext()
			header := http.Header{}
			if others != nil {
				header[BaggageHeader] = others
			}
			assert.NilError(t, want.SetHeader(header))
			got, err := FromHeader(header)
			assert.NilError(t, err)
			assertSameContext(t, got, want)
		})
	}
}

func TestRequestID(t *testing.T) {
	id := NewRequestID()
	parsed, err := ParseRequestID(id.String())
	assert.NilError(t, err)
	assert.Equal(t, parsed, id)
	for _, text := range []string{"", id.String()[1:], id.String() + "0", strings.Repeat("g", 32)} {
		_, err := ParseRequestID(text)
		assert.Check(t, err != nil, "%q was parsed", text)
	}
}

func TestCallerNameIsTruncated(t *testing.T) {
	long := newTestContext()
	long.Caller = CallerName(strings.Repeat("é", maxCallerLength))
	_, err := Decode(mustEncode(t, long))
	assert.NilError(t, err, "a name truncated to the maximum length can't be decoded")
	long.Caller = CallerName("x" + strings.Repeat("é", maxCallerLength))
	_, err = Decode(mustEncode(t, long))
	assert.NilError(t, err, "a name truncated inside a character can't be decoded")
}

func FuzzDecode(f *testing.F) {
	value, err := newTestContext().Encode()
	assert.NilError(f, err)
	f.Add(value)
	f.Add(versionPrefix + "hA")
	f.Fuzz(func(t *testing.T, value string) {
		decoded, err := Decode(value)
		if err != nil {
			assert.ErrorIs(t, err, ErrMalformed)
			return
		}
		again, err := Decode(mustEncode(t, decoded))
		assert.NilError(t, err)
		assertSameContext(t, again, decoded)
	})
}

func FuzzFromHeader(f *testing.F) {
	value, err := newTestContext().Encode()
	assert.NilError(f, err)
	f.Add("a=1, lugspur="+value+";p", "b=2")
	f.Add("lugspur = x,lugspur", ",=")
	f.Fuzz(func(t *testing.T, first, second string) {
		header := http.Header{BaggageHeader: {first, second}}
		if _, err := FromHeader(header); err != nil && !errors.Is(err, ErrAbsent) {
			assert.ErrorIs(t, err, ErrMalformed)
		}
		RemoveFromHeader(header)
		_, err := FromHeader(header)
		if len(first)+len(second) < MaxBaggageLength {
			assert.ErrorIs(t, err, ErrAbsent)
		}
	})
}
