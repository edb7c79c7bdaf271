package forward

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/waxwingpost/waxwingpost/process/deployment"
)

func TestIdentityIsSharedByRepetitionsOnly(t *testing.T) {
	request := func(account, method, target, body string) *callerRequest {
		r := httptest.NewRequest(method, "http://h.example"+target, strings.NewReader(body))
		return &callerRequest{request: r, body: []byte(body), account: &deployment.Account{Name: account}}
	}
	original := request("a", http.MethodPost, "/p/x?q=1", "body")
	repeated := request("a", http.MethodPost, "/p/x?q=1", "body")
	repeated.id = "another"
	repeated.request.Header.Set("Deadline-Ms", "900")
	if original.identity() != repeated.identity() {
		t.Error("a repetition has another identity")
	}
	for name, other := range map[string]*callerRequest{
		"caller": request("b", http.MethodPost, "/p/x?q=1", "body"), "method": request("a", http.MethodPut, "/p/x?q=1", "body"),
		"query": request("a", http.MethodPost, "/p/x?q=2", "body"), "body": request("a", http.MethodPost, "/p/x?q=1", "body2"),
		"moved boundary": request("a", http.MethodPost, "/p/x?q=", "1body"), "no caller": {request: original.request, body: original.body},
	} {
		if original.identity() == other.identity() {
			t.Errorf("another %s gives the same identity", name)
		}
	}
}
