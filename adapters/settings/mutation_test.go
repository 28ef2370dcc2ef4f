package settings

import (
	"errors"
	"math/rand/v2"
	"strings"
	"testing"
)

// mutationCount is the number of mutated files that TestMutatedSettings parses.
const mutationCount = 5000

// TestMutatedSettings mutates valid settings at random and checks that every error is
// a one-line *Error with a line number, and that no error shows a secret.
func TestMutatedSettings(t *testing.T) {
	rng := rand.New(rand.NewPCG(7, 7))
	const inserts = "\n\t :-#&*!{}[]'\"|>%@~0a"
	refused := 0
	for range mutationCount {
		text := []byte(validSettings)
		for range 1 + rng.IntN(3) {
			at := rng.IntN(len(text))
			if rng.IntN(2) == 0 {
				text = append(text[:at], text[at+1:]...)
			} else {
				text[at] = inserts[rng.IntN(len(inserts))]
			}
		}
		_, err := Parse("host.yaml", text)
		if err == nil {
			continue
		}
		refused++
		var fault *Error
		if !errors.As(err, &fault) || fault.Line < 1 || fault.Remedy == "" {
			t.Fatalf("error %q has no line or remedy for:\n%s", err, text)
		}
		if strings.Contains(err.Error(), "\n") || strings.Contains(err.Error(), "0123456789abcdef") {
			t.Fatalf("error %q is more than one line, or shows the key, for:\n%s", err, text)
		}
	}
	if refused < mutationCount/2 {
		t.Errorf("only %d of %d broken files were refused", refused, mutationCount)
	}
}
