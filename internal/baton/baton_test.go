package baton_test

import (
	"testing"
	"testing/synctest"
	"time"

	"greengagespoke/internal/baton"
)

// Goroutines that wait for their turn kept the clock of virtual time from going on.
func TestOneAfterTheOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var held baton.Baton
		var order []int
		for i := range 5 {
			go func() {
				held.Take()
				defer held.Give()
				order = append(order, i)
				time.Sleep(time.Second)
			}()
			synctest.Wait()
		}
		began := time.Now()
		held.Take()
		held.Give()
		if took := time.Since(began); took != 5*time.Second || len(order) != 5 {
			t.Errorf("got a turn after %s and %v, want 5s", took, order)
		}
		for i, n := range order {
			if n != i {
				t.Errorf("got the order %v", order)
				break
			}
		}
		held.Take()
		held.Give()
	})
}
