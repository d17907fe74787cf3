package configfeed

import (
	"errors"
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

func TestOtherKeysAndDeletionsAreIgnored(t *testing.T) {
	feed, holder := newFeed()
	applyVersion(feed, "2")
	feed.ApplyChanges([]store.Entry{{Key: key + "-other", Value: []byte("3")}, {Key: key, Deleted: true}}, "store")
	assert.Equal(t, holder.Version(), routetable.Version(2))
}
