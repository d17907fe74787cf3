package clock

import "context"

// Watch calls a function when a context ends, like AfterFunc. Unlike the latter it takes no
// allocation for contexts of this package. It is not safe for concurrent use.
type Watch struct {
	registration registration
	// stopOther ends the watch of a context of another type.
	stopOther func() bool
}

// Start begins to watch the context. It must only be called for a new Watch and after Stop has
// returned true.
func (w *Watch) Start(ctx context.Context, run func()) {
	own := sameType(ctx)
	if own == nil {
		w.stopOther = AfterFunc(ctx, run)
		return
	}
	w.registration.run = run
	if !own.add(&w.registration) {
		go run()
	}
}

// Stop ends the watch. It returns false if the context has ended, in which case the function has
// been called, or if there is no watch.
func (w *Watch) Stop() bool {
	if !w.stop() {
		return false
	}
	*w = Watch{}
	return true
}

func (w *Watch) stop() bool {
	if w.stopOther != nil {
		return w.stopOther()
	}
	return w.registration.owner != nil && w.registration.stop()
}
