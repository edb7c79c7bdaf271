package heartbeat

import (
	"math/rand/v2"
	"reflect"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/jonboulle/clockwork"

	"github.com/waxwingpost/waxwingpost/connection/wire"
	"github.com/waxwingpost/waxwingpost/process/result"
)

const seed = 20261203

func randomStatus(rnd *rand.Rand, seq uint64) wire.AgentStatus {
	s := wire.AgentStatus{Name: "a", Incarnation: "i", Seq: seq, InFlight: rnd.IntN(3)}
	s.Engine.Running = rnd.IntN(3)
	s.Engine.Waiting = rnd.IntN(2)
	s.Engine.Slots = 8
	s.Serving = []string{"", "v1", "v2"}[rnd.IntN(3)]
	s.Transfer.Done = int64(rnd.IntN(2))
	s.Draining = rnd.IntN(10) == 0
	return s
}

// sendOverLink encodes and decodes a heartbeat as a link does and returns its
// encoded size.
func sendOverLink(t *testing.T, msg wire.HeartbeatMessage) (wire.HeartbeatMessage, int) {
	t.Helper()
	data, err := cbor.Marshal(msg)
	if err != nil {
		t.Fatal(err)
	}
	var got wire.HeartbeatMessage
	if err := cbor.Unmarshal(data, &got); err != nil {
		t.Fatal(err)
	}
	return got, len(data)
}

func TestDecodeReversesEncode(t *testing.T) {
	t.Logf("seed %d", seed)
	rnd := rand.New(rand.NewPCG(seed, 1))
	clock := clockwork.NewFakeClock()
	enc, dec := NewEncoder(clock), &Decoder{}
	for seq := uint64(1); seq <= 5000; seq++ {
		want := randomStatus(rnd, seq)
		clock.Advance(progressInterval)
		msg, _ := sendOverLink(t, enc.Encode(want, "token", true))
		got, err := dec.Decode(msg)
		if err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(got.Status, want) || got.Seq != seq || got.Token != "token" {
			t.Fatalf("seq %d: got %+v, want %+v", seq, got.Status, want)
		}
	}
}

func TestUnchangedStatusIsOmitted(t *testing.T) {
	enc := NewEncoder(clockwork.NewFakeClock())
	status := wire.AgentStatus{Name: "a", Serving: "v1", Staged: []string{"v1"}}
	if enc.Encode(status, "t", false).Status == nil {
		t.Error("the first heartbeat does not hold the status")
	}
	status.Seq, status.InFlight, status.Engine.Running = 2, 7, 3
	msg, size := sendOverLink(t, enc.Encode(status, "0123456789abcdef", true))
	if msg.Status != nil {
		t.Error("an unchanged status was sent")
	}
	if msg.InFlight != 7 || msg.Running != 3 {
		t.Errorf("wrong load fields: %+v", msg)
	}
	const maxBytes = 64
	if size > maxBytes {
		t.Errorf("a heartbeat without status takes %d bytes", size)
	}
}

func TestProgressAloneIsSentOncePerInterval(t *testing.T) {
	clock := clockwork.NewFakeClock()
	enc := NewEncoder(clock)
	status := wire.AgentStatus{Name: "a"}
	enc.Encode(status, "t", false)
	sent := 0
	for range 10 {
		clock.Advance(progressInterval / 5)
		status.Transfer.Done++
		if enc.Encode(status, "t", false).Status != nil {
			sent++
		}
	}
	if sent != 2 {
		t.Errorf("sent %d times in two intervals, want 2", sent)
	}
	status.Serving = "v2"
	if enc.Encode(status, "t", false).Status == nil {
		t.Error("a change of the version was not sent at once")
	}
}

func TestDecodeWithoutPreviousStatusFails(t *testing.T) {
	_, err := (&Decoder{}).Decode(wire.HeartbeatMessage{Seq: 1})
	if result.CodeOf(err) != result.BadMessage {
		t.Errorf("got %v", err)
	}
}
