package node

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"github.com/waxwingpost/waxwingpost/connection/wire"
	"github.com/waxwingpost/waxwingpost/process/control/raft"
	"github.com/waxwingpost/waxwingpost/process/result"
)

const (
	// partBytes is the size of the parts that a snapshot is sent in.
	partBytes = 1 << 20
	// maxSnapshotBytes bounds what is assembled from parts.
	maxSnapshotBytes = 1 << 30
	// snapshotTimeout bounds the sending of one snapshot.
	snapshotTimeout = time.Minute
)

// part is a part of a message that carries a snapshot (KindSnapshot).
type part struct {
	Cluster string `cbor:"1,keyasint"`
	To      string `cbor:"2,keyasint"`
	From    string `cbor:"3,keyasint"`
	// Digest is the xxHash of the whole message; it also tells one message
	// from another.
	Digest uint64 `cbor:"4,keyasint"`
	Offset int    `cbor:"5,keyasint"`
	Total  int    `cbor:"6,keyasint"`
	Data   []byte `cbor:"7,keyasint"`
}

// assembly gathers the parts of one message.
type assembly struct {
	digest uint64
	data   []byte
}

// send passes messages to the links, one batch for each receiver. A lost
// message is the core's to send again.
func (n *Node) send(ctx context.Context, out []raft.Message) {
	batches := map[string]*wire.RaftBatch{}
	var order []string
	for _, m := range out {
		if m.Kind == raft.InstallSnapshot {
			go n.sendSnapshot(ctx, m)
			continue
		}
		b := batches[m.To]
		if b == nil {
			b = &wire.RaftBatch{To: m.To, From: m.From, Cluster: n.replica.id.Cluster}
			batches[m.To] = b
			order = append(order, m.To)
		}
		// The batch carries the addresses of all its messages.
		m.To, m.From = "", ""
		data, err := cbor.Marshal(m)
		if err != nil {
			n.log.Error("message not encoded", "error", err)
			continue
		}
		b.Messages = append(b.Messages, data)
	}
	for _, to := range order {
		if name := n.nameOf(to); name != "" {
			_ = n.tr.Notify(name, wire.KindRaft, batches[to])
		}
	}
}

func (n *Node) nameOf(id string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.names[id]
}

// decodeBatch returns the messages of a batch that is meant for this replica.
func (n *Node) decodeBatch(from wire.Hello, body cbor.RawMessage) ([]raft.Message, error) {
	var batch wire.RaftBatch
	if err := decode(body, &batch); err != nil {
		return nil, err
	}
	if err := n.checkAddress(from, batch.Cluster, batch.To, batch.From); err != nil {
		return nil, err
	}
	messages := make([]raft.Message, len(batch.Messages))
	for i, data := range batch.Messages {
		if err := decode(data, &messages[i]); err != nil {
			return nil, err
		}
		messages[i].To, messages[i].From = batch.To, batch.From
	}
	return messages, nil
}

// checkAddress refuses messages of another cluster, and those to the identity
// that this VM had before it lost its disk.
func (n *Node) checkAddress(from wire.Hello, cluster, to, sender string) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	id := n.status.identity
	if id.Cluster == "" || cluster != id.Cluster {
		return result.New(result.WrongCluster, "%s is of cluster %q, this replica of %q", from.Name, cluster, id.Cluster)
	}
	if to != id.Replica {
		return result.New(result.NotMember, "replica %s is gone, this VM holds %s", to, id.Replica)
	}
	n.names[sender] = from.Name
	return nil
}

// sendSnapshot sends a message with a snapshot in parts and reports the end.
func (n *Node) sendSnapshot(ctx context.Context, m raft.Message) {
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	data, err := cbor.Marshal(m)
	if err == nil {
		err = n.sendParts(ctx, m.To, data)
	}
	if err != nil {
		n.log.Warn("snapshot not sent", "code", int(result.CodeOf(err)), "to", m.To, "error", err)
	}
	_ = n.submit(context.WithoutCancel(ctx), func(r *replica) {
		r.core.ReportSnapshot(m.To, m.Snapshot.Index, err == nil)
	})
}

func (n *Node) sendParts(ctx context.Context, to string, data []byte) error {
	name := n.nameOf(to)
	self := n.current().identity
	digest := xxhash.Sum64(data)
	for off := 0; off < len(data); off += partBytes {
		p := part{
			Cluster: self.Cluster, To: to, From: self.Replica, Digest: digest,
			Offset: off, Total: len(data), Data: data[off:min(off+partBytes, len(data))],
		}
		if err := n.tr.Call(ctx, name, wire.KindSnapshot, p, nil); err != nil {
			return err
		}
	}
	return nil
}

// takePart adds a part; the last one passes the message to the core.
func (n *Node) takePart(ctx context.Context, from wire.Hello, p part) error {
	if err := n.checkAddress(from, p.Cluster, p.To, p.From); err != nil {
		return err
	}
	data, err := n.assemble(p)
	if err != nil || data == nil {
		return err
	}
	var m raft.Message
	if err := decode(data, &m); err != nil {
		return err
	}
	return n.submit(ctx, func(r *replica) { r.core.Step(m) })
}

// assemble returns the whole message with its last part, else nil.
func (n *Node) assemble(p part) ([]byte, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	a := n.parts[p.From]
	if p.Offset == 0 {
		a = &assembly{digest: p.Digest}
		n.parts[p.From] = a
	}
	if a == nil || a.digest != p.Digest || p.Offset != len(a.data) || p.Total > maxSnapshotBytes {
		return nil, result.New(result.BadMessage, "part at byte %d does not follow", p.Offset)
	}
	a.data = append(a.data, p.Data...)
	if len(a.data) < p.Total {
		return nil, nil
	}
	delete(n.parts, p.From)
	if len(a.data) != p.Total || xxhash.Sum64(a.data) != p.Digest {
		return nil, result.New(result.BadMessage, "the parts do not make the message")
	}
	return a.data, nil
}
