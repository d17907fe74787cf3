package configfeed

import (
	"context"
	"errors"
	"maps"
	"slices"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/routetable"
	"github.com/lugspur/lugspur/internal/store"
)

const key = "configuration"

// decode parses a version number as a configuration.
func decode(document []byte) (*routetable.Configuration, error) {
	version, err := strconv.ParseUint(string(document), 10, 64)
	if err != nil {
		return nil, errors.New("not a number")
	}
	return &routetable.Configuration{Version: routetable.Version(version)}, nil
}

func newFeed() (*Feed, *routetable.Holder) {
	holder := &routetable.Holder{}
	return New(key, decode, holder, nil, time.Now), holder
}

func applyVersion(feed *Feed, document string) {
	feed.ApplyChanges([]store.Entry{{Key: key, Value: []byte(document)}}, "store")
}

func TestOlderVersionsAreIgnored(t *testing.T) {
	feed, holder := newFeed()
	applyVersion(feed, "5")
	assert.Equal(t, holder.Version(), routetable.Version(5))
	feed.ApplyChanges([]store.Entry{{Key: key, Value: []byte("4")}}, "10.0.0.1:8300")
	assert.Equal(t, holder.Version(), routetable.Version(5))
	feed.ApplyChanges([]store.Entry{{Key: key, Value: []byte("8")}}, "10.0.0.1:8300")
	assert.Equal(t, holder.Version(), routetable.Version(8))
	applyVersion(feed, "7")
	assert.Equal(t, holder.Version(), routetable.Version(8), "an older version must be ignored")
	applyVersion(feed, "9")
	assert.Equal(t, holder.Version(), routetable.Version(9))
	assert.Assert(t, feed.Age() >= 0 && feed.Age() < time.Minute)
}

func TestInvalidDocumentIsIgnored(t *testing.T) {
	feed, holder := newFeed()
	assert.Equal(t, feed.Age(), time.Duration(0))
	applyVersion(feed, "2")
	assert.Equal(t, holder.Version(), routetable.Version(2))
	applyVersion(feed, "nonsense")
	assert.Equal(t, holder.Version(), routetable.Version(2))
	applyVersion(feed, "3")
	assert.Equal(t, holder.Version(), routetable.Version(3))
}

// fixedVerification is a verification at a given time.
type fixedVerification struct{ at time.Time }

func (v *fixedVerification) VerifiedAt() time.Time { return v.at }

func (v *fixedVerification) Await(context.Context, func(time.Time) bool) error { return nil }

func TestPeersGetAppliedDocumentBesideInvalidOne(t *testing.T) {
	feed, _ := newFeed()
	verification := &fixedVerification{}
	freshness := NewFreshness(feed, verification)
	applyVersion(feed, "5")
	applyVersion(feed, "nonsense")
	assert.Equal(t, feed.Version(), uint64(5))
	assert.Equal(t, string(feed.Encoded()), "5")
	assert.Equal(t, feed.StoredVersion(), uint64(0), "the entries of the store do not hold the document")
	verification.at = time.Unix(1000, 0)
	assert.Equal(t, freshness.VerifiedAt(), verification.at, "no newer document is in the store")
	applyVersion(feed, "4")
	verification.at = time.Unix(2000, 0)
	assert.Equal(t, freshness.VerifiedAt(), time.Unix(1000, 0), "the store has lost the document")
	applyVersion(feed, "6")
	assert.Equal(t, freshness.VerifiedAt(), time.Unix(2000, 0))
}

func TestOtherKeysAndDeletionsAreIgnored(t *testing.T) {
	feed, holder := newFeed()
	applyVersion(feed, "2")
	feed.ApplyChanges([]store.Entry{{Key: key + "-other", Value: []byte("3")}, {Key: key, Deleted: true}}, "store")
	assert.Equal(t, holder.Version(), routetable.Version(2))
}

// TestHeldFeedEndsAlikeInEachOrder guards against a configuration that is lost, or applied although a
// newer one was received, because it arrived while configurations were on hold.
func TestHeldFeedEndsAlikeInEachOrder(t *testing.T) {
	steps := map[string]func(*Feed){
		"store 4": func(f *Feed) { applyVersion(f, "4") },
		"store 5": func(f *Feed) { applyVersion(f, "5") },
		"deleted": func(f *Feed) { f.ApplyChanges([]store.Entry{{Key: key, Deleted: true}}, "store") },
		"peer 3":  func(f *Feed) { f.Offer([]byte("3"), "10.0.0.1:8300") },
		"release": (*Feed).Release,
	}
	for _, order := range permutations(slices.Sorted(maps.Keys(steps))) {
		feed, holder := newFeed()
		feed.Hold()
		for _, step := range order {
			steps[step](feed)
		}
		assert.Check(t, holder.Version() == 5, "%v: version %d", order, holder.Version())
	}
}

func permutations(names []string) [][]string {
	if len(names) == 0 {
		return [][]string{nil}
	}
	var all [][]string
	for i, first := range names {
		for _, rest := range permutations(slices.Delete(slices.Clone(names), i, i+1)) {
			all = append(all, append([]string{first}, rest...))
		}
	}
	return all
}
