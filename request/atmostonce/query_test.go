package atmostonce

import (
	"testing"

	"github.com/fxamacker/cbor/v2"

	"github.com/waxwingpost/waxwingpost/process/control"
)

// A part of a reply must not settle what became of a call.
func TestPartOfAReplyDoesNotDecode(t *testing.T) {
	whole, err := cbor.Marshal(Reply{State: StateDone, Answer: &control.Answer{Status: 200, Body: []byte("body")}})
	if err != nil {
		t.Fatal(err)
	}
	for length := range whole {
		var reply Reply
		if err := cbor.Unmarshal(whole[:length], &reply); err == nil {
			t.Errorf("%x: decoded as %+v", whole[:length], reply)
		}
	}
}
