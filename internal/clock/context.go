package clock

import (
	"context"
	"sync"
	"time"
)

// cancelContext is a context that can be canceled with a cause. It takes fewer allocations than
// those of package context: it is part of its parent's list of children, creates its channel only
// if Done is called, and implements the AfterFunc method that package context uses for children
// of other types. Its cause is returned by Cause, not by context.Cause.
type cancelContext struct {
	parent context.Context
	// link is the context's registration with a parent of the same type; stopParent ends that
	// with a parent of another type, nil if there is none.
	link       registration
	stopParent func() bool

	mutex sync.Mutex
	// done is closed when the context ends; nil until it is needed.
	done chan struct{}
	// cause is set when the context ends.
	cause error
	// first is the first of the registrations, which do not change any more once the context
	// has ended.
	first *registration
}

// registration is an action at the end of a context: a child is canceled, or run is called in its
// own goroutine.
type registration struct {
	owner          *cancelContext
	child          *cancelContext
	run            func()
	previous, next *registration
	removed        bool
}

// contextKey is the key for which a cancelContext is its own value.
type contextKey struct{}

// closedChannel is the channel of contexts that ended before their channel was needed.
var closedChannel = func() chan struct{} {
	closed := make(chan struct{})
	close(closed)
	return closed
}()

// WithCancelCause is like context.WithCancelCause. Only Cause returns the cause of the context.
func WithCancelCause(parent context.Context) (context.Context, context.CancelCauseFunc) {
	c := &cancelContext{}
	c.attach(parent)
	return c, c.cancel
}

// WithCancel is like WithCancelCause with context.Canceled as the cause.
func WithCancel(parent context.Context) (context.Context, context.CancelFunc) {
	c := &cancelContext{}
	c.attach(parent)
	return c, c.cancelWithoutCause
}

// AfterFunc is like context.AfterFunc.
func AfterFunc(ctx context.Context, run func()) (stop func() bool) {
	if c, ok := ctx.(interface {
		AfterFunc(run func()) (stop func() bool)
	}); ok {
		return c.AfterFunc(run)
	}
	return context.AfterFunc(ctx, run)
}

// Cause returns why the context ended, nil if it has not. Unlike context.Cause it covers the
// contexts of this package and those derived from them. For a derived context that was canceled
// without a cause it returns the cause of its ancestor in this package if that has ended as well.
func Cause(ctx context.Context) error {
	if c, ok := ctx.(interface{ endCause() error }); ok {
		return c.endCause()
	}
	cause := context.Cause(ctx)
	if cause != context.Canceled {
		return cause
	}
	if c, ok := ctx.Value(contextKey{}).(*cancelContext); ok && c.Err() != nil {
		return c.endCause()
	}
	return cause
}

// attach makes the context end when the parent does.
func (c *cancelContext) attach(parent context.Context) {
	c.parent = parent
	c.link.child = c
	if own := sameType(parent); own != nil {
		if !own.add(&c.link) {
			c.cancel(own.endCause())
		}
		return
	}
	if parent.Done() == nil {
		return
	}
	if parent.Err() != nil {
		c.cancel(Cause(parent))
		return
	}
	// The parent may end at once, and cancel reads stopParent then.
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.stopParent = AfterFunc(parent, c.cancelWithParent)
}

// sameType returns the cancelContext of a context of this package, nil for other contexts.
func sameType(ctx context.Context) *cancelContext {
	switch own := ctx.(type) {
	case *cancelContext:
		return own
	case *deadline:
		return &own.cancelContext
	}
	return nil
}

func (c *cancelContext) cancelWithParent()   { c.cancel(Cause(c.parent)) }
func (c *cancelContext) cancelWithoutCause() { c.cancel(nil) }

// cancel ends the context unless it has ended.
func (c *cancelContext) cancel(cause error) {
	if cause == nil {
		cause = context.Canceled
	}
	c.mutex.Lock()
	if c.cause != nil {
		c.mutex.Unlock()
		return
	}
	c.cause = cause
	if c.done == nil {
		c.done = closedChannel
	} else {
		close(c.done)
	}
	first, stopParent := c.first, c.stopParent
	c.mutex.Unlock()
	for r := first; r != nil; r = r.next {
		r.end(cause)
	}
	if stopParent != nil {
		stopParent()
	}
	if c.link.owner != nil {
		c.link.stop()
	}
}

// end performs the action.
func (r *registration) end(cause error) {
	if r.child != nil {
		r.child.cancel(cause)
		return
	}
	go r.run()
}

// add adds the registration. It returns false if the context has ended.
func (c *cancelContext) add(r *registration) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.cause != nil {
		return false
	}
	r.owner = c
	r.next = c.first
	if r.next != nil {
		r.next.previous = r
	}
	c.first = r
	return true
}

// stop removes the registration. It returns false if it was removed before or if the context has
// ended.
func (r *registration) stop() bool {
	c := r.owner
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.cause != nil || r.removed {
		return false
	}
	r.removed = true
	if r.next != nil {
		r.next.previous = r.previous
	}
	if r.previous != nil {
		r.previous.next = r.next
	} else {
		c.first = r.next
	}
	// A removed registration that is still referenced must not keep its neighbors alive.
	r.previous, r.next = nil, nil
	return true
}

// AfterFunc is called by AfterFunc and by package context.
func (c *cancelContext) AfterFunc(run func()) (stop func() bool) {
	r := &registration{run: run}
	if !c.add(r) {
		go run()
		return func() bool { return false }
	}
	return r.stop
}

// Deadline returns the parent's deadline.
func (c *cancelContext) Deadline() (time.Time, bool) { return c.parent.Deadline() }

// Done returns a channel that is closed when the context ends.
func (c *cancelContext) Done() <-chan struct{} {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.done == nil {
		c.done = make(chan struct{})
	}
	return c.done
}

// Err returns context.Canceled if the context has ended.
func (c *cancelContext) Err() error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.cause == nil {
		return nil
	}
	return context.Canceled
}

func (c *cancelContext) endCause() error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.cause
}

// Value returns the parent's value.
func (c *cancelContext) Value(key any) any {
	if key == (contextKey{}) {
		return c
	}
	return c.parent.Value(key)
}
