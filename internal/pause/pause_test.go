package pause

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

func TestForWaitsOrEndsWithTheContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		began := time.Now()
		if !For(ctx, time.Minute) || time.Since(began) != time.Minute {
			t.Fatalf("waited %v", time.Since(began))
		}
		if !For(ctx, 0) || !For(ctx, -time.Second) || time.Since(began) != time.Minute {
			t.Error("a wait of no length took time or failed")
		}
		time.AfterFunc(time.Second, cancel)
		if For(ctx, time.Minute) || For(ctx, 0) {
			t.Error("the wait outlived its context")
		}
	})
}
