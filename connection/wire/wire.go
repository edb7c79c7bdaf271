// Package wire defines the messages that the system's processes exchange over
// their links, encoded as CBOR. Fields are keyed by integers: a key is never
// given a second meaning, and unknown keys are ignored, so that adjacent
// releases understand each other.
package wire

import (
	"github.com/fxamacker/cbor/v2"

	"github.com/waxwingpost/waxwingpost/connection/engine"
	"github.com/waxwingpost/waxwingpost/process/control"
	"github.com/waxwingpost/waxwingpost/version/manifest"
)

// Version is the protocol's version; links between different versions are
// refused with result code ProtocolVersion.
const Version = 1

// Kind tells which message an envelope carries.
type Kind uint16

// Kinds of messages. The comment gives the sender, the receiver and the types.
const (
	KindHello     Kind = 1  // both: Hello
	KindHeartbeat Kind = 2  // agent to entry: Beat, answered by HeartbeatAck
	KindAgentView Kind = 3  // entry to agent: AgentView
	KindFence     Kind = 4  // agent to entry: FenceQuery, answered by FenceReply
	KindLeave     Kind = 5  // agent to entry: Leave
	KindRaft      Kind = 10 // entry to entry: RaftBatch
	KindPropose   Kind = 11 // entry to leader: control.Command, answered by control.Result
	KindBarrier   Kind = 12 // entry to leader: Empty, answered by BarrierReply
	KindFleet     Kind = 13 // entry to leader: FleetReport
	KindBootstrap Kind = 15 // entry to entry: control/node's own message
	KindSnapshot  Kind = 16 // leader to replica: control/node's own message
	KindFollow    Kind = 20 // entry or agent to control: Follow, answered by News
	KindNews      Kind = 21 // control to follower or control: News
	KindDocument  Kind = 22 // follower to control: DocumentQuery, answered by Document
	KindDemand    Kind = 23 // entry to control: Demand
	KindEngine    Kind = 24 // agent to control: EngineState
	KindServer    Kind = 25 // agent to control: directory.Server
)

// Envelope frames every message. ID joins a call with its reply; a
// notification has ID zero. Code and Detail tell a refusal.
type Envelope struct {
	Kind   Kind            `cbor:"1,keyasint"`
	ID     uint64          `cbor:"2,keyasint,omitempty"`
	Reply  bool            `cbor:"3,keyasint,omitempty"`
	Code   int             `cbor:"4,keyasint,omitempty"`
	Ran    int             `cbor:"5,keyasint,omitempty"`
	Detail string          `cbor:"6,keyasint,omitempty"`
	Body   cbor.RawMessage `cbor:"7,keyasint,omitempty"`
}

// Empty is a message without content.
type Empty struct{}

// Roles of a process.
const (
	RoleEntry   = "entry"
	RoleAgent   = "agent"
	RoleControl = "control"
)

// Hello is the first message of a link, from both sides.
type Hello struct {
	Protocol int    `cbor:"1,keyasint"`
	Role     string `cbor:"2,keyasint"`
	// Name is the VM's name, unique in the fleet for each role.
	Name string `cbor:"3,keyasint"`
	// Incarnation is new at every start of the process.
	Incarnation string `cbor:"4,keyasint"`
	Zone        string `cbor:"5,keyasint"`
	Region      string `cbor:"6,keyasint"`
	// Address is the IP and port of the process's HTTP server for its peers.
	Address string `cbor:"7,keyasint"`
	// Replica is the identity of an entry's control replica, if it has one.
	Replica string `cbor:"8,keyasint,omitempty"`
	// Service is what an agent's backend server runs.
	Service string `cbor:"9,keyasint,omitempty"`
}

// Heartbeat renews an agent's session with an entry. Token is good for
// dispatches until the lease ends on the agent's own monotonic clock.
type Heartbeat struct {
	Seq    uint64
	Token  string
	Status AgentStatus
}

// Beat is a heartbeat as it crosses a link: what changes all the time, and
// the rest only where it differs from the beat before on the same link.
type Beat struct {
	Seq   uint64 `cbor:"1,keyasint"`
	Token string `cbor:"2,keyasint"`
	// Running, Waiting and InFlight are as in the status.
	Running  int `cbor:"3,keyasint,omitempty"`
	Waiting  int `cbor:"4,keyasint,omitempty"`
	InFlight int `cbor:"5,keyasint,omitempty"`
	// Status is nil while it is unchanged but for the fields above.
	Status *AgentStatus `cbor:"6,keyasint,omitempty"`
	// Primary is set on one link of the agent: its entry tells the leader.
	Primary bool `cbor:"7,keyasint,omitempty"`
}

// HeartbeatAck answers a heartbeat.
type HeartbeatAck struct {
	Seq uint64 `cbor:"1,keyasint"`
	// Revision is the configuration's revision in force on the entry.
	Revision uint64 `cbor:"2,keyasint"`
}

// AgentStatus is what an agent knows of itself and its backend server.
type AgentStatus struct {
	Name        string        `cbor:"1,keyasint" json:"name"`
	Incarnation string        `cbor:"2,keyasint" json:"incarnation"`
	Service     string        `cbor:"3,keyasint" json:"service"`
	Zone        string        `cbor:"4,keyasint" json:"zone"`
	Region      string        `cbor:"5,keyasint" json:"region"`
	Address     string        `cbor:"6,keyasint" json:"address"`
	Engine      engine.Report `cbor:"7,keyasint" json:"engine"`
	// Serving is the version that the admission check lets through; empty
	// while it is closed.
	Serving string `cbor:"8,keyasint" json:"serving"`
	// Staged lists the versions that are whole and verified in the spool.
	Staged []string `cbor:"9,keyasint" json:"staged"`
	// Draining is set once the agent takes nothing new.
	Draining bool `cbor:"10,keyasint" json:"draining"`
	// InFlight counts the requests that the agent is passing to its backend.
	InFlight int `cbor:"11,keyasint" json:"in_flight"`
	// FenceIndex is the fence of the last order that was carried out.
	FenceIndex uint64 `cbor:"12,keyasint" json:"fence_index"`
	// Code and Detail tell why the last order could not be carried out.
	Code   int    `cbor:"13,keyasint" json:"code"`
	Detail string `cbor:"14,keyasint" json:"detail,omitempty"`
	// Transfer tells the progress of the current transfer.
	Transfer Transfer `cbor:"15,keyasint" json:"transfer"`
	// Seq orders the statuses of one incarnation.
	Seq uint64 `cbor:"16,keyasint" json:"seq"`
	// Revision is the configuration's revision in force on the agent.
	Revision uint64 `cbor:"17,keyasint" json:"revision"`
}

// Transfer is the progress of a transfer in bytes.
type Transfer struct {
	Version     string `cbor:"1,keyasint" json:"version,omitempty"`
	Done        int64  `cbor:"2,keyasint" json:"done_bytes"`
	Total       int64  `cbor:"3,keyasint" json:"total_bytes"`
	FromOrigin  int64  `cbor:"4,keyasint" json:"from_origin_bytes"`
	FromPeers   int64  `cbor:"5,keyasint" json:"from_peers_bytes"`
	CrossRegion int64  `cbor:"6,keyasint" json:"cross_region_bytes"`
	Corrupt     int64  `cbor:"7,keyasint" json:"corrupt_chunks"`
	FromStore   int64  `cbor:"8,keyasint" json:"from_store_bytes"`
}

// AgentView is all that an agent needs of the fleet: the order in force for
// it, the manifests that the order names, sources, peers and limits. A view
// replaces the one before; an agent ignores a view with a lower Revision or
// Fence than it has seen.
type AgentView struct {
	Revision  uint64              `cbor:"1,keyasint"`
	Order     *control.Order      `cbor:"2,keyasint,omitempty"`
	Manifests []manifest.Manifest `cbor:"3,keyasint,omitempty"`
	Sources   []Source            `cbor:"4,keyasint,omitempty"`
	Peers     []Peer              `cbor:"5,keyasint,omitempty"`
	Objective string              `cbor:"6,keyasint"`
	// RegionPairBytesPerSecond and VMBytesPerSecond limit transfers; zero
	// means unlimited.
	RegionPairBytesPerSecond int64   `cbor:"7,keyasint"`
	VMBytesPerSecond         int64   `cbor:"8,keyasint"`
	LiveShare                float64 `cbor:"9,keyasint"`
	// FencingIgnored is set where the agent's engine ignores old fences.
	FencingIgnored bool `cbor:"10,keyasint"`
	// Paths maps each version to its path at the sources.
	Paths map[string]string `cbor:"11,keyasint,omitempty"`
}

// Source is a weight source as agents see it.
type Source struct {
	Name           string `cbor:"1,keyasint"`
	Kind           string `cbor:"2,keyasint"`
	Address        string `cbor:"3,keyasint"`
	Zone           string `cbor:"4,keyasint"`
	Region         string `cbor:"5,keyasint"`
	BytesPerSecond int64  `cbor:"6,keyasint"`
}

// Peer is another agent that may hold or want the same chunks.
type Peer struct {
	Name    string `cbor:"1,keyasint"`
	Address string `cbor:"2,keyasint"`
	Zone    string `cbor:"3,keyasint"`
	Region  string `cbor:"4,keyasint"`
	// Version is the version that the peer is ordered to hold.
	Version string `cbor:"5,keyasint"`
}

// FenceQuery asks an entry for the agent's order as a quorum holds it.
type FenceQuery struct {
	Agent string `cbor:"1,keyasint"`
}

// FenceReply is the answer after a quorum round. Index is the index of the
// control state that the answer was read at: an order with a lower fence that
// is not Order is old.
type FenceReply struct {
	Index uint64         `cbor:"1,keyasint"`
	Order *control.Order `cbor:"2,keyasint,omitempty"`
	// Revision is the configuration's revision at that index.
	Revision uint64 `cbor:"3,keyasint"`
}

// Leave tells an entry that the agent takes nothing new.
type Leave struct {
	Reason string `cbor:"1,keyasint,omitempty"`
}

// RaftBatch carries messages of the consensus core, encoded by control/node.
type RaftBatch struct {
	To       string   `cbor:"1,keyasint"`
	From     string   `cbor:"2,keyasint"`
	Messages [][]byte `cbor:"3,keyasint"`
	// Cluster is the sender's cluster; others refuse the batch.
	Cluster string `cbor:"4,keyasint"`
}

// BarrierReply carries the commit index that a quorum confirmed.
type BarrierReply struct {
	Index uint64 `cbor:"1,keyasint"`
}

// FleetReport tells the leader of the agents whose primary link is to the
// entry: what changed since the report before on the same link, or everything
// when First is set. A report without changes keeps the entry's agents alive.
type FleetReport struct {
	Entry    string        `cbor:"1,keyasint"`
	Seq      uint64        `cbor:"2,keyasint"`
	Revision uint64        `cbor:"3,keyasint"`
	Agents   []AgentStatus `cbor:"4,keyasint,omitempty"`
	// Gone names agents that the entry no longer answers for.
	Gone  []string `cbor:"5,keyasint,omitempty"`
	First bool     `cbor:"6,keyasint,omitempty"`
}
