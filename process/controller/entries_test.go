package controller

import (
	"net/http"
	"strings"
	"testing"

	"github.com/waxwingpost/waxwingpost/connection/wire"
	"github.com/waxwingpost/waxwingpost/platform"
)

// One entry of a list of servers that no server has written must not end the processes that
// read the list, nor keep them from following it.
func TestListIsFollowedDespiteOddEntries(t *testing.T) {
	startCluster(t)
	valid := `{"service":"s","addr":"10.0.0.1:1","state":"ready","seq":1,"born":9,"slots":4}`
	for _, odd := range []struct {
		id, body string
		want     int
	}{
		{"%ff%fe", valid, http.StatusBadRequest},
		{strings.Repeat("i", 12<<10), valid, http.StatusBadRequest},
		{strings.Repeat("i", 100<<10), valid, http.StatusRequestHeaderFieldsTooLarge}, // above the limit of a header section
		{"i-2", strings.Replace(valid, "10.0.0.1:1", "10.0.0.1:70000", 1), http.StatusBadRequest},
		{"i-3", strings.Replace(valid, `"slots":4`, `"slots":1e300`, 1), http.StatusBadRequest},
		{"i-1%0d%0a", valid, http.StatusBadRequest},
		{"i-1%20", valid, http.StatusBadRequest},
		{"i-4", strings.Replace(valid, `"slots":4`, `"x":`+strings.Repeat(`{"x":`, 20000)+"1"+strings.Repeat("}", 20000), 1), http.StatusBadRequest},
	} {
		if status, _ := call(t, 0, http.MethodPost, platform.PathHeartbeat+odd.id, odd.body); status != odd.want {
			t.Errorf("heartbeat of %.20s: status %d, want %d", odd.id, status, odd.want)
		}
	}
	if status, _ := call(t, 0, http.MethodPost, platform.PathDeregister+"%ff%fd", ""); status != http.StatusBadRequest {
		t.Errorf("deregistration of an ID that is not UTF-8: status %d, want 400", status)
	}
	callUntil(t, 0, http.MethodPost, platform.PathHeartbeat+"i-1", valid, http.StatusOK)
	for vm := range vms {
		c := follow(t, vm, wire.RoleEntry)
		var update wire.Update
		await(t, "the server", func() bool {
			if err := c.Call(t.Context(), wire.KindFollow, wire.FollowRequest{}, &update); err != nil {
				t.Fatalf("follow control process %d: %v", vm, err)
			}
			return len(update.Servers) == 1 && update.Servers[0].ID == "i-1"
		})
		if len(update.Left) > 0 {
			t.Errorf("control process %d lists %v as deregistered", vm, update.Left)
		}
	}
}
