package pause

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/virtualtime"
)

func TestForReturnsAfterDurationOrContext(t *testing.T) {
	virtualtime.Run(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		start := time.Now()
		assert.Assert(t, For(ctx, time.Second))
		assert.Equal(t, time.Since(start), time.Second)
		assert.Assert(t, !For(ctx, time.Hour))
		assert.Equal(t, time.Since(start), time.Minute)
		assert.Assert(t, !For(ctx, 0))
		assert.Assert(t, For(t.Context(), 0))
	})
}
