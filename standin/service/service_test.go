package service

import (
	"errors"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"greengagespoke/ports"
)

func keyed(key string) ports.ServiceRequest {
	return ports.ServiceRequest{Method: "POST", Path: "/closures", Header: http.Header{KeyHeader: {key}}}
}

func TestExecutionsAreCountedByKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, checks := range []bool{false, true} {
			s := New(Config{Latency: 20 * time.Millisecond, ChecksKey: checks})
			for range 2 {
				if _, err := s.Call(t.Context(), keyed("k")); err != nil {
					t.Fatal(err)
				}
			}
			want := 2
			if checks {
				want = 1
			}
			if got := s.Ledger().Executions("k"); got != want || s.Calls() != 2 {
				t.Errorf("checks %v: %d executions, want %d", checks, got, want)
			}
		}
	})
}

func TestLostAnswerComesAfterTheExecution(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Config{Latency: 20 * time.Millisecond})
		s.LoseAnswers(1)
		_, err := s.Call(t.Context(), keyed("k"))
		var lost *ports.ServiceError
		if !errors.As(err, &lost) || !lost.Sent {
			t.Fatalf("got %v, want a lost answer", err)
		}
		if got := s.Ledger().Executions("k"); got != 1 {
			t.Errorf("%d executions, want 1", got)
		}
		s.Kill()
		_, err = s.Call(t.Context(), keyed("k"))
		if !errors.As(err, &lost) || lost.Sent {
			t.Errorf("got %v, want a refused connection", err)
		}
	})
}
