package transfer

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
)

// A part of a neighbor's state must not look as if it held fewer chunks.
func TestPartOfAHaveReplyDoesNotDecode(t *testing.T) {
	whole, err := cbor.Marshal(haveReply{Seq: 1, Active: true, Have: []byte{0xff, 1}, Claims: []byte{2}})
	if err != nil {
		t.Fatal(err)
	}
	for length := range whole {
		var reply haveReply
		if err := cbor.Unmarshal(whole[:length], &reply); err == nil {
			t.Errorf("%x: decoded as %+v", whole[:length], reply)
		}
	}
}
