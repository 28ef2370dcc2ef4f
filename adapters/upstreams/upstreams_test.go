package upstreams

import (
	"testing"

	"greengagespoke/domain"
)

func TestClientsFollowTheAddress(t *testing.T) {
	set := New()
	defer set.Close()
	up := domain.Upstream{ID: "d-1", Address: "127.0.0.1:1"}
	first := set.Engine(up)
	if set.Engine(up) != first {
		t.Error("a second client was made for the same address")
	}
	up.Address = "127.0.0.1:2"
	if set.Engine(up) == first {
		t.Error("the client was kept after a change of address")
	}
	if set.Service(up) != set.Service(up) {
		t.Error("a second service client was made")
	}
}
