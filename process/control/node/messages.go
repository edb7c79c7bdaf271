package node

import (
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"github.com/waxwingpost/waxwingpost/connection/wire"
	"github.com/waxwingpost/waxwingpost/process/control/raft"
	"github.com/waxwingpost/waxwingpost/process/result"
)

const (
	// snapshotPartBytes is the size of the parts in which a snapshot is sent.
	snapshotPartBytes = 1 << 20
	// maxSnapshotBytes bounds a message assembled from parts.
	maxSnapshotBytes = 1 << 30
	// snapshotSendTimeout is the deadline for sending one snapshot.
	snapshotSendTimeout = time.Minute
)

// snapshotPart is a part of a message that carries a snapshot (KindSnapshot).
type snapshotPart struct {
	Cluster string `cbor:"1,keyasint"`
	To      string `cbor:"2,keyasint"`
	From    string `cbor:"3,keyasint"`
	// Digest is the xxHash of the whole message; it also identifies the message
	// that the part belongs to.
	Digest uint64 `cbor:"4,keyasint"`
	Offset int    `cbor:"5,keyasint"`
	Total  int    `cbor:"6,keyasint"`
	Data   []byte `cbor:"7,keyasint"`
}

// partialMessage collects the parts of one message.
type partialMessage struct {
	digest uint64
	data   []byte
}

// sendMessages sends one batch of messages to each receiver. Send errors are
// ignored, since the core retransmits lost messages.
func (n *Node) sendMessages(ctx context.Context, out []raft.Message) {
	batches := map[string]*wire.RaftBatch{}
	var receivers []string
	for _, m := range out {
		if m.Kind == raft.InstallSnapshot {
			go n.sendSnapshot(ctx, m)
			continue
		}
		b := batches[m.To]
		if b == nil {
			b = &wire.RaftBatch{To: m.To, From: m.From, Cluster: n.replica.id.Cluster}
			batches[m.To] = b
			receivers = append(receivers, m.To)
		}
		// The batch header has the addresses of all its messages.
		m.To, m.From = "", ""
		data, err := cbor.Marshal(m)
		if err != nil {
			n.log.Error("encode message failed", "error", err)
			continue
		}
		b.Messages = append(b.Messages, data)
	}
	for _, to := range receivers {
		if name := n.vmName(to); name != "" {
			_ = n.transport.Notify(name, wire.KindRaft, batches[to])
		}
	}
}

func (n *Node) vmName(id string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.vmNames[id]
}

// decodeBatch returns the messages of a batch addressed to this replica.
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
		if err := messages[i].Validate(); err != nil {
			return nil, result.New(result.BadMessage, "message %d of a batch: %v", i, err)
		}
		messages[i].To, messages[i].From = batch.To, batch.From
	}
	return messages, nil
}

// checkAddress rejects messages from another cluster and messages to the
// identity that this VM had before it lost its disk.
func (n *Node) checkAddress(from wire.Hello, cluster, to, sender string) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	id := n.status.identity
	if id.Cluster == "" && !slices.Contains(n.reportedMembers, from.Name) && len(n.reportedMembers) < 2*n.cfg.MaxMembers {
		// The sender is a member and takes this VM for one: its disk was lost. The seeds of the
		// settings may all be gone, so the sender is asked as well.
		n.reportedMembers = append(slices.Clone(n.reportedMembers), from.Name)
	}
	if id.Cluster == "" || cluster != id.Cluster {
		return result.New(result.WrongCluster, "%s belongs to cluster %q, this replica to %q", from.Name, cluster, id.Cluster)
	}
	if to != id.Replica {
		return result.New(result.NotMember, "no replica %s on this VM, its replica is %s", to, id.Replica)
	}
	n.vmNames[sender] = from.Name
	return nil
}

// sendSnapshot sends a message with a snapshot in parts and reports to the core
// whether that succeeded.
func (n *Node) sendSnapshot(ctx context.Context, m raft.Message) {
	ctx, cancel := context.WithTimeout(ctx, snapshotSendTimeout)
	defer cancel()
	data, err := cbor.Marshal(m)
	if err == nil {
		err = n.sendParts(ctx, m.To, data)
	}
	if err != nil {
		n.log.Warn("send snapshot failed", "code", int(result.CodeOf(err)), "to", m.To, "error", err)
	}
	_ = n.submit(context.WithoutCancel(ctx), func(r *replica) {
		r.core.ReportSnapshot(m.To, m.Snapshot.Index, err == nil)
	})
}

func (n *Node) sendParts(ctx context.Context, to string, data []byte) error {
	name := n.vmName(to)
	self := n.currentStatus().identity
	digest := xxhash.Sum64(data)
	for off := 0; off < len(data); off += snapshotPartBytes {
		p := snapshotPart{
			Cluster: self.Cluster, To: to, From: self.Replica, Digest: digest,
			Offset: off, Total: len(data), Data: data[off:min(off+snapshotPartBytes, len(data))],
		}
		if err := n.transport.Call(ctx, name, wire.KindSnapshot, p, nil); err != nil {
			return err
		}
	}
	return nil
}

// receivePart adds a part. With the last part it passes the message to the core.
func (n *Node) receivePart(ctx context.Context, from wire.Hello, p snapshotPart) error {
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
	if err := m.Validate(); err != nil {
		return result.New(result.BadMessage, "assembled snapshot: %v", err)
	}
	return n.submit(ctx, func(r *replica) { n.step(r, m) })
}

// step passes a message to the core.
func (n *Node) step(r *replica, m raft.Message) {
	if err := r.core.Step(m); err != nil {
		n.log.Error("message refused", "code", int(result.BadMessage), "from", n.vmName(m.From), "replica", m.From, "error", err)
	}
}

// assemble adds a part. It returns the whole message once the last part has
// arrived, nil before.
func (n *Node) assemble(p snapshotPart) ([]byte, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	partial := n.partialMessages[p.From]
	if p.Offset == 0 {
		partial = &partialMessage{digest: p.Digest}
		n.partialMessages[p.From] = partial
	}
	if partial == nil || partial.digest != p.Digest || p.Offset != len(partial.data) || p.Total > maxSnapshotBytes {
		return nil, result.New(result.BadMessage, "snapshot part at byte %d is out of order or too large", p.Offset)
	}
	partial.data = append(partial.data, p.Data...)
	if len(partial.data) < p.Total {
		return nil, nil
	}
	delete(n.partialMessages, p.From)
	if len(partial.data) != p.Total || xxhash.Sum64(partial.data) != p.Digest {
		return nil, result.New(result.BadMessage, "size or digest mismatch in assembled snapshot")
	}
	return partial.data, nil
}
