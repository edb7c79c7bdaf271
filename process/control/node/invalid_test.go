package node

import (
	"log/slog"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"github.com/waxwingpost/waxwingpost/connection/wire"
	"github.com/waxwingpost/waxwingpost/process/control/raft"
	"github.com/waxwingpost/waxwingpost/process/control/wal"
	"github.com/waxwingpost/waxwingpost/process/result"
)

func TestBatchWithAnInvalidMessageIsNotTaken(t *testing.T) {
	encode := func(v any) []byte {
		data, err := cbor.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		return data
	}
	n := &Node{
		vmNames: map[string]string{}, status: status{identity: wal.Identity{Replica: "me", Cluster: "ours"}},
		log: slog.New(slog.DiscardHandler), inbox: make(chan func(*replica), 1),
	}
	valid := encode(raft.Message{Kind: raft.Heartbeat, Term: 2})
	for name, invalid := range map[string][]byte{
		"gap":          encode(raft.Message{Kind: raft.Append, Term: 2, Index: 4, LogTerm: 2, Entries: []raft.Entry{{Index: 9, Term: 2}}}),
		"unknown kind": encode(raft.Message{Kind: 77}),
		"no message":   encode("text"),
		"cut short":    valid[:len(valid)-1],
	} {
		batch := wire.RaftBatch{Cluster: "ours", To: "me", From: "other", Messages: [][]byte{valid, invalid}}
		if err := n.Notify(wire.Hello{Name: "e2"}, wire.KindRaft, encode(batch)); result.CodeOf(err) != result.BadMessage {
			t.Errorf("%s: got %v, want code %d", name, err, result.BadMessage)
		}
		if len(n.inbox) > 0 {
			t.Errorf("%s: a message of the batch was taken", name)
		}
	}
}
