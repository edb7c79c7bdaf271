package link

import (
	"context"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"github.com/waxwingpost/waxwingpost/connection/wire"
)

// decoding is a handler that decodes each message as all kinds.
type decoding struct{}

func (decoding) Notify(_ *Conn, _ wire.Kind, body cbor.RawMessage) { decodeAll(body) }

func (decoding) Call(_ context.Context, _ *Conn, _ wire.Kind, body cbor.RawMessage) (any, error) {
	decodeAll(body)
	return wire.Empty{}, nil
}

func decodeAll(body cbor.RawMessage) {
	for _, v := range []any{
		&wire.Hello{}, &wire.HeartbeatMessage{}, &wire.AgentView{}, &wire.FenceQuery{}, &wire.FenceReply{}, &wire.Leave{}, &wire.RaftBatch{},
		&wire.FleetReport{}, &wire.FollowRequest{}, &wire.Update{}, &wire.ConfigDocument{}, &wire.Demand{}, &wire.EngineState{},
	} {
		if wire.Decode(body, v) != nil {
			continue
		}
		if state, ok := v.(*wire.EngineState); ok {
			state.Verifications()
		}
	}
}

// FuzzMessage passes the bytes of a peer to a link.
func FuzzMessage(f *testing.F) {
	body, err := cbor.Marshal(wire.EngineState{Address: "10.0.0.1:1", Born: 1, Checked: 2, Loading: true})
	if err != nil {
		f.Fatal(err)
	}
	for _, env := range []wire.Envelope{
		{Kind: wire.KindEngine, Body: body},
		{Kind: wire.KindFence, ID: 7, Body: body},
		{Kind: wire.KindFence, ID: 1, Reply: true, Body: body},
		{Kind: wire.KindFence, ID: 1, Reply: true, Code: -1, Detail: "x", Ran: 99},
		{ID: 1 << 63, Reply: true},
	} {
		data, err := cbor.Marshal(env)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var env wire.Envelope
		if wire.Decode(data, &env) != nil {
			return
		}
		c := newConn(nil, wire.Hello{Name: "p"}, decoding{}, nil, nil)
		_, reply := c.addPending()
		c.dispatch(env)
		select {
		case got := <-reply:
			if !env.Reply || env.ID != 1 {
				t.Errorf("message %d with reply=%v was delivered as the reply to call 1", env.ID, env.Reply)
			}
			_ = decodeReply(got, &wire.FenceReply{})
		default:
			if env.Reply && env.ID == 1 {
				t.Error("the reply to call 1 was not delivered")
			}
		}
		if n := c.stats.Read().Panics; n != 0 {
			t.Errorf("%d panics", n)
		}
	})
}
