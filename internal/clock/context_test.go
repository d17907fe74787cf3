package clock

import (
	"context"
	"errors"
	"runtime"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var errTest = errors.New("test")

// derive returns functions that create a context below a parent, one for each kind of context.
func derive() map[string]func(context.Context) (context.Context, context.CancelCauseFunc) {
	return map[string]func(context.Context) (context.Context, context.CancelCauseFunc){
		"this package":    WithCancelCause,
		"package context": context.WithCancelCause,
		"deadline": func(parent context.Context) (context.Context, context.CancelCauseFunc) {
			ctx, _ := WithTimeout(parent, time.Hour)
			return ctx, ctx.(*deadline).cancel
		},
	}
}

// awaitEnd waits until the context has ended.
func awaitEnd(t *testing.T, ctx context.Context) {
	t.Helper()
	select {
	case <-ctx.Done():
	case <-time.After(10 * time.Second):
		t.Fatal("the context did not end")
	}
}

// TestCauseReachesDescendants guards against a loss of the cause, or of the end itself, between
// contexts of this package and of package context in any order.
func TestCauseReachesDescendants(t *testing.T) {
	for parentName, newParent := range derive() {
		for childName, newChild := range derive() {
			t.Run(parentName+", "+childName, func(t *testing.T) {
				parent, cancel := newParent(t.Context())
				child, cancelChild := newChild(parent)
				defer cancelChild(nil)
				later, cancelLater := newChild(parent)
				cancelLater(errors.New("earlier"))
				assert.NilError(t, parent.Err())
				assert.NilError(t, child.Err())
				assert.NilError(t, Cause(child))
				cancel(errTest)
				awaitEnd(t, child)
				assert.ErrorIs(t, child.Err(), context.Canceled)
				assert.Assert(t, parentName != "package context" || childName == "package context" || errors.Is(Cause(child), errTest))
				assert.ErrorIs(t, Cause(parent), errTest)
				assert.Error(t, Cause(later), "earlier")
				late, cancelLate := newChild(parent)
				defer cancelLate(nil)
				awaitEnd(t, late)
				assert.ErrorIs(t, Cause(late), errTest)
				assert.ErrorIs(t, Cause(child), errTest)
			})
		}
	}
}

// TestAfterFunc covers the results of stop and the call of the function, for contexts of this
// package and of package context.
func TestAfterFunc(t *testing.T) {
	for name, newContext := range derive() {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := newContext(t.Context())
			called := make(chan struct{}, 3)
			run := func() { called <- struct{}{} }
			stops := []func() bool{AfterFunc(ctx, run), AfterFunc(ctx, run), AfterFunc(ctx, run)}
			assert.Assert(t, stops[1]())
			assert.Assert(t, !stops[1](), "stopped twice")
			assert.Assert(t, stops[0]())
			cancel(nil)
			<-called
			assert.Assert(t, !stops[2](), "the function has been called")
			assert.Assert(t, !AfterFunc(ctx, run)())
			<-called
			assert.Equal(t, len(called), 0)
		})
	}
}

// TestValuesAreThoseOfTheParent guards against values that are hidden by a context.
func TestValuesAreThoseOfTheParent(t *testing.T) {
	type key struct{}
	ctx, cancel := WithCancel(context.WithValue(t.Context(), key{}, 7))
	assert.Equal(t, ctx.Value(key{}), 7)
	cancel()
	assert.ErrorIs(t, Cause(ctx), context.Canceled)
}

// TestEndedChildrenAreRemoved guards against a long-lived parent that keeps its former children.
func TestEndedChildrenAreRemoved(t *testing.T) {
	parent, cancel := WithCancelCause(t.Context())
	defer cancel(nil)
	for range 10 {
		child, cancelChild := WithTimeout(parent, time.Hour)
		grandchild, cancelGrandchild := context.WithCancel(child)
		cancelGrandchild()
		assert.ErrorIs(t, grandchild.Err(), context.Canceled)
		assert.Assert(t, child.(*deadline).first == nil)
		cancelChild()
	}
	assert.Assert(t, parent.(*cancelContext).first == nil)
	older, cancelOlder := WithCancelCause(parent)
	_, cancelYounger := WithCancelCause(parent)
	cancelOlder(nil)
	cancelYounger(nil)
	link := &older.(*cancelContext).link
	assert.Assert(t, link.previous == nil && link.next == nil, "an ended child keeps no siblings alive")
}

// TestContextsStartNoGoroutines guards against children of package context that are watched by a
// goroutine, which happens if a parent has no AfterFunc method.
func TestContextsStartNoGoroutines(t *testing.T) {
	before := runtime.NumGoroutine()
	ctx := t.Context()
	for range 20 {
		parent, cancel := WithTimeout(ctx, time.Hour)
		defer cancel()
		child, cancelChild := context.WithCancel(parent)
		defer cancelChild()
		grandchild, cancelGrandchild := WithCancel(child)
		defer cancelGrandchild()
		ctx = grandchild
	}
	assert.Assert(t, runtime.NumGoroutine() < before+20)
}

// TestConcurrentEnds lets parents, children and callbacks end at the same time; the race detector
// and a deadlock are what it looks for.
func TestConcurrentEnds(t *testing.T) {
	for range 200 {
		root, cancelRoot := context.WithCancel(t.Context())
		parent, cancel := WithCancelCause(root)
		var group sync.WaitGroup
		group.Go(cancelRoot)
		group.Go(func() { cancel(errTest) })
		for range 4 {
			group.Go(func() {
				child, cancelChild := WithTimeout(parent, time.Millisecond)
				stop := AfterFunc(child, func() {})
				stop()
				cancelChild()
				<-child.Done()
				assert.Check(t, Cause(child) != nil)
			})
		}
		group.Wait()
		awaitEnd(t, parent)
	}
}

// TestWatch covers the results of Stop and the reuse of a Watch, for contexts of this package and
// of package context.
func TestWatch(t *testing.T) {
	for name, newContext := range derive() {
		t.Run(name, func(t *testing.T) {
			var watch Watch
			assert.Assert(t, !watch.Stop(), "there is no watch")
			called := make(chan struct{}, 2)
			run := func() { called <- struct{}{} }
			for range 3 {
				ctx, cancel := newContext(t.Context())
				watch.Start(ctx, run)
				assert.Assert(t, watch.Stop())
				assert.Assert(t, !watch.Stop(), "stopped twice")
				assert.Assert(t, watch.registration.owner == nil && watch.stopOther == nil, "an idle watch must not keep the context")
				cancel(nil)
			}
			ctx, cancel := newContext(t.Context())
			watch.Start(ctx, run)
			cancel(nil)
			<-called
			assert.Assert(t, !watch.Stop(), "the function has been called")
			var late Watch
			late.Start(ctx, run)
			<-called
			assert.Assert(t, !late.Stop())
			assert.Equal(t, len(called), 0)
		})
	}
}
