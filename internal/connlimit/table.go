package connlimit

import (
	"container/list"
	"sync"
)

// Table tracks accepted connections, identified by a key. It is safe for concurrent use.
type Table[K comparable] struct {
	max int

	mutex       sync.Mutex
	connections map[K]*connection
	// idle holds the keys of idle connections that are not selected, the one that has been idle longest
	// first.
	idle list.List
	// selected is the number of connections that are selected.
	selected int
}

type connection struct {
	// idle is the element of the list of idle connections, nil if there is none.
	idle *list.Element
	// closable reports whether the connection may be selected, selected whether it is.
	closable, selected bool
}

// New returns a table that permits at most so many connections.
func New[K comparable](maxConnections int) *Table[K] {
	return &Table[K]{max: maxConnections, connections: make(map[K]*connection)}
}

// Opened adds a connection without a request. A connection that is not closable counts, but is
// never selected.
func (t *Table[K]) Opened(key K, closable bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	c := &connection{closable: closable}
	t.connections[key] = c
	t.setIdle(key, c)
}

// Busy reports that a connection carries a request.
func (t *Table[K]) Busy(key K) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if c := t.connections[key]; c != nil {
		t.remove(c)
	}
}

// Idle reports that a connection carries no request.
func (t *Table[K]) Idle(key K) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if c := t.connections[key]; c != nil {
		t.remove(c)
		t.setIdle(key, c)
	}
}

// Closed removes a connection.
func (t *Table[K]) Closed(key K) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if c := t.connections[key]; c != nil {
		t.remove(c)
		delete(t.connections, key)
	}
}

func (t *Table[K]) setIdle(key K, c *connection) {
	if c.closable {
		c.idle = t.idle.PushBack(key)
	}
}

// remove removes a connection from the idle and the selected ones.
func (t *Table[K]) remove(c *connection) {
	if c.idle != nil {
		t.idle.Remove(c.idle)
		c.idle = nil
	}
	if c.selected {
		c.selected = false
		t.selected--
	}
}

// Open returns the number of connections.
func (t *Table[K]) Open() int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return len(t.connections)
}

// Max returns the bound.
func (t *Table[K]) Max() int { return t.max }

// SelectExcess selects a connection to close if there are more than the bound, without those already
// selected. It returns false if none is to be closed or none is idle.
func (t *Table[K]) SelectExcess() (key K, found bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if len(t.connections)-t.selected <= t.max {
		return key, false
	}
	return t.selectIdle()
}

// Select selects the connection that has been idle longest, whatever their number is.
func (t *Table[K]) Select() (key K, found bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.selectIdle()
}

func (t *Table[K]) selectIdle() (key K, found bool) {
	element := t.idle.Front()
	if element == nil {
		return key, false
	}
	key = t.idle.Remove(element).(K)
	c := t.connections[key]
	c.idle, c.selected = nil, true
	t.selected++
	return key, true
}

// Selected reports whether a connection is selected and has neither been closed nor received a
// request since.
func (t *Table[K]) Selected(key K) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	c := t.connections[key]
	return c != nil && c.selected
}
