// Package wire defines the messages that the system's processes exchange over
// links, encoded as CBOR. Fields are keyed by integers. A key is never reused for
// another meaning and unknown keys are ignored, so that adjacent releases can
// communicate.
package wire

import (
	"github.com/fxamacker/cbor/v2"

	"github.com/waxwingpost/waxwingpost/connection/engine"
	"github.com/waxwingpost/waxwingpost/process/control"
	"github.com/waxwingpost/waxwingpost/version/manifest"
)

// Version is the protocol version. A link between processes with different
// versions is refused with result code ProtocolVersion.
const Version = 1

// Kind is the type of the message in an envelope.
type Kind uint16

// Kinds of messages. The comments give sender, receiver, message type and, for a
// call, reply type.
const (
	KindHello          Kind = 1  // both: Hello
	KindHeartbeat      Kind = 2  // agent to entry: HeartbeatMessage, reply HeartbeatAck
	KindAgentView      Kind = 3  // entry to agent: AgentView
	KindFence          Kind = 4  // agent to entry: FenceQuery, reply FenceReply
	KindLeave          Kind = 5  // agent to entry: Leave
	KindRaft           Kind = 10 // entry to entry: RaftBatch
	KindPropose        Kind = 11 // entry to leader: control.Command, reply control.Result
	KindBarrier        Kind = 12 // entry to leader: Empty, reply BarrierReply
	KindFleet          Kind = 13 // entry to leader: FleetReport
	KindBootstrap      Kind = 15 // entry to entry: message defined in control/node
	KindSnapshot       Kind = 16 // leader to replica: message defined in control/node
	KindFollow         Kind = 20 // entry or agent to control: FollowRequest, reply Update
	KindUpdate         Kind = 21 // control to follower or control: Update
	KindConfigDocument Kind = 22 // follower to control: ConfigDocumentQuery, reply ConfigDocument
	KindDemand         Kind = 23 // entry to control: Demand
	KindEngine         Kind = 24 // agent to control: EngineState
	KindServer         Kind = 25 // agent to control: directory.Server
	KindObservations   Kind = 26 // entry to control: []observation.Record
	KindPieceDigests   Kind = 27 // agent to control: PieceDigests
	KindDigestsQuery   Kind = 28 // agent to control: DigestsQuery, reply PieceDigests
	KindPace           Kind = 34 // agent to control: directory.EnginePace
)

// Envelope wraps every message. A call and its reply have the same ID; a
// notification has ID zero. In the reply to a refused call, Code, Ran and Detail
// hold the error.
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

// Hello is the first message that each side sends on a link.
type Hello struct {
	Protocol int    `cbor:"1,keyasint"`
	Role     string `cbor:"2,keyasint"`
	// Name is the VM's name, unique in the fleet per role.
	Name string `cbor:"3,keyasint"`
	// Incarnation differs at each start of the process.
	Incarnation string `cbor:"4,keyasint"`
	Zone        string `cbor:"5,keyasint"`
	Region      string `cbor:"6,keyasint"`
	// Address is the "IP:port" of the process's HTTP server for peers.
	Address string `cbor:"7,keyasint"`
	// Replica is the ID of an entry's control replica, if it has one.
	Replica string `cbor:"8,keyasint,omitempty"`
	// Service is the service that an agent's backend server runs.
	Service string `cbor:"9,keyasint,omitempty"`
}

// Heartbeat renews an agent's session with an entry; on a link it is sent as a
// HeartbeatMessage. The agent accepts dispatches with Token until the token's lease
// expires, as measured by the agent's own clock.
type Heartbeat struct {
	Seq    uint64
	Token  string
	Status AgentStatus
}

// HeartbeatMessage is the form in which a heartbeat is sent on a link. It holds the
// fields that usually change between heartbeats, and the others only if they differ
// from the previous HeartbeatMessage on the same link.
type HeartbeatMessage struct {
	Seq   uint64 `cbor:"1,keyasint"`
	Token string `cbor:"2,keyasint"`
	// Running, Waiting and InFlight belong to the status.
	Running  int `cbor:"3,keyasint,omitempty"`
	Waiting  int `cbor:"4,keyasint,omitempty"`
	InFlight int `cbor:"5,keyasint,omitempty"`
	// Status is nil if no other field of the status changed.
	Status *AgentStatus `cbor:"6,keyasint,omitempty"`
	// Primary is set on one link of the agent. The entry on that link reports the
	// agent to the leader.
	Primary bool `cbor:"7,keyasint,omitempty"`
}

// HeartbeatAck is the reply to a heartbeat.
type HeartbeatAck struct {
	Seq uint64 `cbor:"1,keyasint"`
	// Revision is the configuration revision in force on the entry.
	Revision uint64 `cbor:"2,keyasint"`
}

// AgentStatus is the state of an agent and its backend server, as reported by the
// agent.
type AgentStatus struct {
	Name        string        `cbor:"1,keyasint" json:"name"`
	Incarnation string        `cbor:"2,keyasint" json:"incarnation"`
	Service     string        `cbor:"3,keyasint" json:"service"`
	Zone        string        `cbor:"4,keyasint" json:"zone"`
	Region      string        `cbor:"5,keyasint" json:"region"`
	Address     string        `cbor:"6,keyasint" json:"address"`
	Engine      engine.Report `cbor:"7,keyasint" json:"engine"`
	// Serving is the version for which the admission check accepts requests;
	// empty while it accepts none.
	Serving string `cbor:"8,keyasint" json:"serving"`
	// Staged lists the versions that are complete and verified in the spool.
	Staged []string `cbor:"9,keyasint" json:"staged"`
	// Draining is set once the agent accepts no new requests.
	Draining bool `cbor:"10,keyasint" json:"draining"`
	// InFlight is the number of requests in flight from the agent to its backend
	// server.
	InFlight int `cbor:"11,keyasint" json:"in_flight"`
	// FenceIndex is the fence index of the last order that was executed.
	FenceIndex uint64 `cbor:"12,keyasint" json:"fence_index"`
	// Code and Detail are the error of the last order if it failed.
	Code   int    `cbor:"13,keyasint" json:"code"`
	Detail string `cbor:"14,keyasint" json:"detail,omitempty"`
	// Transfer is the progress of the current transfer.
	Transfer Transfer `cbor:"15,keyasint" json:"transfer"`
	// Seq increases with each status of an incarnation.
	Seq uint64 `cbor:"16,keyasint" json:"seq"`
	// Revision is the configuration revision in force on the agent.
	Revision uint64 `cbor:"17,keyasint" json:"revision"`
}

// Transfer is the progress of a transfer in bytes. Corrupt counts chunks.
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

// AgentView is the part of the fleet's state that an agent needs: its order in
// force, the manifests that the order refers to, sources, peers and limits. A view
// replaces the previous one. An agent ignores a view whose Revision or Fence is
// lower than one it has received.
type AgentView struct {
	Revision  uint64              `cbor:"1,keyasint"`
	Order     *control.Order      `cbor:"2,keyasint,omitempty"`
	Manifests []manifest.Manifest `cbor:"3,keyasint,omitempty"`
	Sources   []Source            `cbor:"4,keyasint,omitempty"`
	Peers     []Peer              `cbor:"5,keyasint,omitempty"`
	// Objective is what transfers optimize, as configured.
	Objective string `cbor:"6,keyasint"`
	// RegionPairBytesPerSecond and VMBytesPerSecond limit transfers. Zero means
	// no limit.
	RegionPairBytesPerSecond int64 `cbor:"7,keyasint"`
	VMBytesPerSecond         int64 `cbor:"8,keyasint"`
	// LiveShare is the part of a link, 0 to 1, that transfers leave to live
	// requests while requests wait.
	LiveShare float64 `cbor:"9,keyasint"`
	// FencingIgnored is set if the agent's engine does not check fences.
	FencingIgnored bool `cbor:"10,keyasint"`
	// Paths maps each version to its path on the sources.
	Paths map[string]string `cbor:"11,keyasint,omitempty"`
}

// Source is a weight source from which agents fetch.
type Source struct {
	Name           string `cbor:"1,keyasint"`
	Kind           string `cbor:"2,keyasint"`
	Address        string `cbor:"3,keyasint"`
	Zone           string `cbor:"4,keyasint"`
	Region         string `cbor:"5,keyasint"`
	BytesPerSecond int64  `cbor:"6,keyasint"`
}

// Peer is another agent that may hold or need the same chunks.
type Peer struct {
	Name    string `cbor:"1,keyasint"`
	Address string `cbor:"2,keyasint"`
	Zone    string `cbor:"3,keyasint"`
	Region  string `cbor:"4,keyasint"`
	// Version is the version in the peer's order.
	Version string `cbor:"5,keyasint"`
}

// FenceQuery requests the agent's order from an entry, which confirms it with a
// quorum.
type FenceQuery struct {
	Agent string `cbor:"1,keyasint"`
}

// FenceReply is the reply to FenceQuery after a quorum round. Index is the index of
// the control state from which it was read. An order whose fence index is not above
// Index is stale unless it is Order.
type FenceReply struct {
	Index uint64         `cbor:"1,keyasint"`
	Order *control.Order `cbor:"2,keyasint,omitempty"`
	// Revision is the configuration revision at that index.
	Revision uint64 `cbor:"3,keyasint"`
}

// Leave informs an entry that the agent is stopping and accepts no new requests.
type Leave struct {
	Reason string `cbor:"1,keyasint,omitempty"`
}

// RaftBatch holds Raft messages, encoded by control/node.
type RaftBatch struct {
	To       string   `cbor:"1,keyasint"`
	From     string   `cbor:"2,keyasint"`
	Messages [][]byte `cbor:"3,keyasint"`
	// Cluster is the sender's cluster. Members of other clusters refuse the batch.
	Cluster string `cbor:"4,keyasint"`
}

// BarrierReply holds the commit index that a quorum confirmed.
type BarrierReply struct {
	Index uint64 `cbor:"1,keyasint"`
}

// FleetReport is an entry's report to the leader about the agents whose primary
// link is to that entry. It holds the changes since the previous report on the
// same link, or all agents if First is set. A report without changes confirms that
// the entry's agents are alive.
type FleetReport struct {
	Entry    string        `cbor:"1,keyasint"`
	Seq      uint64        `cbor:"2,keyasint"`
	Revision uint64        `cbor:"3,keyasint"`
	Agents   []AgentStatus `cbor:"4,keyasint,omitempty"`
	// Gone lists the agents that this entry no longer reports.
	Gone  []string `cbor:"5,keyasint,omitempty"`
	First bool     `cbor:"6,keyasint,omitempty"`
}
