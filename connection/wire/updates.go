package wire

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/waxwingpost/waxwingpost/process/directory"
	"github.com/waxwingpost/waxwingpost/process/observation"
)

// FollowRequest subscribes to a control process. The reply is its whole state as
// an Update; each change follows as a notification.
type FollowRequest struct {
	// Relay also requests changes that the control process received from other
	// control processes. A follower with links to all control processes does not
	// set it, because it gets each change from the process that received it first.
	Relay bool `cbor:"1,keyasint,omitempty"`
}

// EngineState is an agent's report about the engine on its VM. It arrives earlier
// than the same change in the engine's next heartbeat.
type EngineState struct {
	// Address is the engine's address, as in its heartbeats.
	Address string `cbor:"1,keyasint"`
	// Loading is set while the engine accepts no new requests because it loads
	// weights.
	Loading bool `cbor:"2,keyasint,omitempty"`
	// Held lists the weights that the engine holds after loading and that the agent has
	// verified since. With Loading and Born, it lists those that the engine holds before.
	Held []directory.ModelVersion `cbor:"3,keyasint,omitempty"`
	// Born is the engine's start in Unix milliseconds, or 0 if it is unknown. The report
	// concerns no other incarnation.
	Born int64 `cbor:"4,keyasint,omitempty"`
	// Unloads is sent by agents of earlier releases. A report with it states nothing else
	// and is ignored.
	Unloads []directory.ModelVersion `cbor:"5,keyasint,omitempty"`
	// Checked is the time of the check that Held results from, and Orders the engine's
	// number of accepted orders then; see directory.Verification.
	Checked int64  `cbor:"6,keyasint,omitempty"`
	Orders  uint64 `cbor:"7,keyasint,omitempty"`
	// Loads lists the weights that the engine was ordered to load at Checked. They are not
	// verified, even if the engine held the same versions before.
	Loads []directory.ModelVersion `cbor:"8,keyasint,omitempty"`
}

// Verifications returns the verifications that the report contains, or ends.
func (s *EngineState) Verifications() []directory.Verification {
	weights, ended := s.Held, false
	switch {
	case len(s.Unloads) > 0:
		return nil
	case s.Loading:
		weights, ended = s.Loads, true
	}
	list := make([]directory.Verification, 0, len(weights))
	for _, w := range weights {
		list = append(list, directory.Verification{
			Address: s.Address, Born: s.Born, Model: w.Model, Version: w.Version, Checked: s.Checked, Orders: s.Orders, Ended: ended,
		})
	}
	return list
}

// Deregistration reports that a server deregistered. Born is the server's start in
// Unix milliseconds, or 0 if it is unknown.
type Deregistration struct {
	ID   string `cbor:"1,keyasint"`
	Born int64  `cbor:"2,keyasint,omitempty"`
}

// ServerList is a list of servers of which each entry is decoded by itself: one that can't
// be decoded is left out, and hides no others.
type ServerList []directory.Server

// UnmarshalCBOR implements cbor.Unmarshaler.
func (l *ServerList) UnmarshalCBOR(data []byte) error {
	var entries []cbor.RawMessage
	if err := Decode(data, &entries); err != nil {
		return err
	}
	*l = make(ServerList, 0, len(entries))
	for _, entry := range entries {
		var s directory.Server
		if Decode(entry, &s) == nil {
			*l = append(*l, s)
		}
	}
	return nil
}

// Update holds changes from a control process. Empty fields did not change.
type Update struct {
	// Revision, ConfigVersion and Weights are the desired state. Revision is 0 if
	// this update does not contain it. Weights holds the version of each model.
	Revision      uint64         `cbor:"1,keyasint,omitempty"`
	ConfigVersion uint64         `cbor:"2,keyasint,omitempty"`
	Weights       map[string]int `cbor:"3,keyasint,omitempty"`
	// Ages holds, by model, how long ago the newest versions were published.
	// Versions that the sender learned right after a restart are missing, because
	// it does not know their age.
	Ages map[string][]VersionAge `cbor:"10,keyasint,omitempty"`
	// Published lists, by model, the latest published versions in ascending order.
	Published map[string][]int `cbor:"12,keyasint,omitempty"`
	// Servers lists the servers that changed, Alive the IDs of those that sent a
	// heartbeat without a change, Left those that deregistered.
	Servers ServerList       `cbor:"4,keyasint,omitempty"`
	Alive   []string         `cbor:"5,keyasint,omitempty"`
	Left    []Deregistration `cbor:"6,keyasint,omitempty"`
	// Engines holds the reports of agents about their engines.
	Engines []EngineState `cbor:"11,keyasint,omitempty"`
	// Verified holds verifications of weights, also those that have ended.
	Verified []directory.Verification `cbor:"14,keyasint,omitempty"`
	// Paces holds changed speeds of engines.
	Paces []directory.EnginePace `cbor:"24,keyasint,omitempty"`
	// Controls lists the peer addresses of the control processes.
	Controls []string `cbor:"7,keyasint,omitempty"`
	// Demand is the sum of the demand that all entries reported, by service.
	Demand map[string]float64 `cbor:"8,keyasint,omitempty"`
	// RegionDemand lists the part of Demand that is bound to regions. It is empty if there is
	// none, or if the sender does not know.
	RegionDemand []RegionDemand `cbor:"15,keyasint,omitempty"`
	// Entries is the number of entries with a link to the sender.
	Entries int `cbor:"9,keyasint,omitempty"`
	// Observations lists what entries have learned of servers.
	Observations []observation.Record `cbor:"13,keyasint,omitempty"`
	// Evacuations holds the evacuated zones; nil if this update does not contain them.
	Evacuations *Evacuations `cbor:"16,keyasint,omitempty"`
}

// Evacuations holds all evacuated zones of one revision of the desired state.
type Evacuations struct {
	Revision uint64   `cbor:"1,keyasint"`
	Zones    []string `cbor:"2,keyasint,omitempty"`
	// Current is set if the sender's replica is known to be current: the zones then contain
	// every evacuation that was acknowledged before.
	Current bool `cbor:"3,keyasint,omitempty"`
}

// AddToAges adds the time that may have passed since the update was built.
func (u *Update) AddToAges(d time.Duration) {
	for _, ages := range u.Ages {
		for i := range ages {
			ages[i].Age += d.Milliseconds()
		}
	}
}

// VersionAge is the time in milliseconds since a version was published.
type VersionAge struct {
	Version int   `cbor:"1,keyasint"`
	Age     int64 `cbor:"2,keyasint"`
	// Bound is set if the version may be younger: the sender was behind when it was
	// published.
	Bound bool `cbor:"3,keyasint,omitempty"`
}

// ConfigDocumentQuery requests the configuration document of a version or a later one.
type ConfigDocumentQuery struct {
	Version uint64 `cbor:"1,keyasint"`
}

// ConfigDocument is the configuration document, compressed with DEFLATE.
type ConfigDocument struct {
	Version uint64 `cbor:"1,keyasint"`
	Content []byte `cbor:"2,keyasint"`
	// Evacuations holds the evacuated zones, of the document's revision or a later one; nil if
	// the sender is of a release without them.
	Evacuations *Evacuations `cbor:"3,keyasint,omitempty"`
}

// Demand is the load that an entry's callers request from each service, in seconds
// of server time per second.
type Demand struct {
	ByService map[string]float64 `cbor:"1,keyasint"`
	// ByRegion lists the part of the demand that is bound to regions. It is also counted in
	// ByService, which is all that earlier releases know.
	ByRegion []RegionDemand `cbor:"2,keyasint,omitempty"`
}
