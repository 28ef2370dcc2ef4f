package peerrpc

import (
	"flag"
	"fmt"
	"os"
	"reflect"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"greengagespoke/adapters/peerrpc/peerpb"
	"greengagespoke/domain"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20031", "rapid.checks": "60", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// protocolTypes restricts generated values to the ranges that the protocol can
// represent.
var protocolTypes = rapid.MakeConfig{Types: map[reflect.Type]*rapid.Generator[any]{
	reflect.TypeFor[int](): rapid.Map(rapid.Int32(), func(n int32) any { return int(n) }),
	reflect.TypeFor[time.Time](): rapid.Map(rapid.Int64(), func(ns int64) any {
		return time.Unix(0, ns).UTC()
	}),
}}

// roundTrip checks that values are unchanged after conversion, encoding, decoding
// and conversion back. They are compared as text, because the protocol does not
// distinguish nil slices from empty ones.
func roundTrip[Value any, Message proto.Message](t *testing.T, to func(Value) Message, from func(Message) Value) {
	t.Helper()
	values := rapid.MakeCustom[Value](protocolTypes)
	rapid.Check(t, func(t *rapid.T) {
		sent := values.Draw(t, "value")
		encoded, err := proto.Marshal(to(sent))
		if err != nil {
			t.Fatal(err)
		}
		var zero Message
		decoded := zero.ProtoReflect().New().Interface().(Message)
		if err := proto.Unmarshal(encoded, decoded); err != nil {
			t.Fatal(err)
		}
		want := fmt.Sprintf("%+v", sent)
		if got := fmt.Sprintf("%+v", from(decoded)); got != want {
			t.Fatalf("got  %s\nwant %s", got, want)
		}
	})
}

func TestRoundTrips(t *testing.T) {
	t.Run("attempt", func(t *testing.T) { roundTrip(t, attemptToPB, attemptFromPB) })
	t.Run("place", func(t *testing.T) { roundTrip(t, slotRequestToPB, slotRequestFromPB) })
	t.Run("grant", func(t *testing.T) { roundTrip(t, grantToPB, grantFromPB) })
	t.Run("release", func(t *testing.T) { roundTrip(t, releaseToPB, releaseFromPB) })
	t.Run("member", func(t *testing.T) { roundTrip(t, memberToPB, memberFromPB) })
	t.Run("probe", func(t *testing.T) { roundTrip(t, probeToPB, probeFromPB) })
	t.Run("change", func(t *testing.T) { roundTrip(t, changeToPB, changeFromPB) })
	t.Run("snapshot", func(t *testing.T) { roundTrip(t, snapshotToPB, snapshotFromPB) })
	t.Run("refusal", func(t *testing.T) {
		to := func(r domain.Refusal) *peerpb.Refusal { return refusalToPB(&r) }
		from := func(r *peerpb.Refusal) domain.Refusal { return *refusalFromPB(r) }
		roundTrip(t, to, from)
	})
}
