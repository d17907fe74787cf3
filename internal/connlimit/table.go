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
	// idle holds the keys of idle connections that have carried a request and are not selected, the one
	// that has been idle longest first, and unused those that have carried none.
	idle, unused list.List
	// selected is the number of connections that are selected.
	selected int
}

type connection struct {
	// idle is the element of the connection in the list that holds it, nil if there is none.
	idle *list.Element
	list *list.List
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
	t.setIdle(key, c, &t.unused)
}

// Busy reports that a connection carries a request, and returns whether it was selected before.
func (t *Table[K]) Busy(key K) (selected bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	c := t.connections[key]
	if c == nil {
		return false
	}
	selected = c.selected
	t.remove(c)
	return selected
}

// Idle reports that a connection carries no request.
func (t *Table[K]) Idle(key K) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if c := t.connections[key]; c != nil {
		t.remove(c)
		t.setIdle(key, c, &t.idle)
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

func (t *Table[K]) setIdle(key K, c *connection, idle *list.List) {
	if c.closable {
		c.idle, c.list = idle.PushBack(key), idle
	}
}

// remove removes a connection from the idle and the selected ones.
func (t *Table[K]) remove(c *connection) {
	if c.idle != nil {
		c.list.Remove(c.idle)
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
// selected. It returns false if none is to be closed or none is idle. A connection that has carried no
// request is not selected, as its first one may be arriving.
func (t *Table[K]) SelectExcess() (key K, found bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if len(t.connections)-t.selected <= t.max {
		return key, false
	}
	return t.selectFrom(&t.idle)
}

// Select selects the connection that has been idle longest, whatever their number is; one that has
// carried no request only if there is no other.
func (t *Table[K]) Select() (key K, found bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if key, found = t.selectFrom(&t.idle); found {
		return key, true
	}
	return t.selectFrom(&t.unused)
}

func (t *Table[K]) selectFrom(idle *list.List) (key K, found bool) {
	element := idle.Front()
	if element == nil {
		return key, false
	}
	key = idle.Remove(element).(K)
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
