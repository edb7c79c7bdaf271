package forward

import (
	"net/http"
	"testing"
	"time"

	"github.com/waxwingpost/waxwingpost/platform"
	"github.com/waxwingpost/waxwingpost/process/deployment"
)

// Guards against requests that can't be written being sent, or taking their servers out of use.
func TestRequestOfAnAccountThatCanNotBeWrittenIsRefusedAtOnceAndHarmsNoServer(t *testing.T) {
	server := newFakeServer(t, "a", echo)
	config := testConfig(deployment.Unrepeatable, 5*time.Second)
	config.Accounts = append(config.Accounts, deployment.Account{Name: "b\r\nTenant: acc", Keys: []string{"another-key"}})
	e := newTestEntry(t, config, server)
	for range 20 {
		start := time.Now()
		resp, _, err := e.send(t, func(r *http.Request) { r.Header.Set("Authorization", "Bearer another-key") })
		if err != nil || resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get(platform.HeaderSignature) != "" {
			t.Fatalf("got %+v, %v, want status 503", resp, err)
		}
		if took := time.Since(start); took > time.Second {
			t.Errorf("refused after %v", took)
		}
		if resp, body, err := e.send(t, nil); err != nil || resp.StatusCode != http.StatusOK || body != "body from a" {
			t.Fatalf("a sound request got %+v, %q, %v", resp, body, err)
		}
	}
	if server.runCount() != 20 || len(server.received) != 20 {
		t.Errorf("the server received %d requests and ran %d, want 20", len(server.received), server.runCount())
	}
}
