package node

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"sort"

	"github.com/google/uuid"

	"github.com/waxwingpost/waxwingpost/process/control/raft"
	"github.com/waxwingpost/waxwingpost/process/control/wal"
	"github.com/waxwingpost/waxwingpost/process/result"
)

// foundingIndex and foundingTerm are the position of the state that a cluster
// begins with: an empty one, with the founders as voters.
const (
	foundingIndex = 1
	foundingTerm  = 1
)

// introduction is what a replica tells another about itself (KindBootstrap).
// Join asks the leader to admit the sender as a learner.
type introduction struct {
	Name      string       `cbor:"1,keyasint"`
	Replica   string       `cbor:"2,keyasint"`
	Cluster   string       `cbor:"3,keyasint,omitempty"`
	Volatile  bool         `cbor:"4,keyasint,omitempty"`
	Bootstrap []string     `cbor:"5,keyasint,omitempty"`
	Founders  raft.Members `cbor:"6,keyasint,omitempty"`
	// Leader is the name of the leader's VM as the sender knows it.
	Leader string `cbor:"7,keyasint,omitempty"`
	Join   bool   `cbor:"8,keyasint,omitempty"`
}

// plan is what an empty data folder is to do.
type plan uint8

const (
	planWait plan = iota
	planFound
	planJoin
)

// decideStart decides what a replica without a cluster does. others holds the
// introductions of all entries that answered; asked is how many were asked.
//
// A cluster is founded only when everyone answered and none has ever been in a
// cluster: one that did not answer may hold the state that is in force. Each
// data folder belongs to one cluster for good, and each founder appears under
// its identity, so two clusters can't both gather a majority of founders.
func decideStart(self introduction, others []introduction, asked int) (plan, wal.Identity, error) {
	id := wal.Identity{Replica: self.Replica}
	cluster, founders, err := knownCluster(others)
	switch {
	case err != nil:
		return planWait, id, err
	case cluster != "":
		id.Cluster = cluster
		if founders.IsVoter(self.Replica) {
			id.Founders = founders
			return planFound, id, nil
		}
		return planJoin, id, nil
	case len(others) < asked || self.Volatile || !slices.Contains(self.Bootstrap, self.Name):
		return planWait, id, nil
	}
	founders, err = foundersOf(self, others)
	if err != nil || founders == nil {
		return planWait, id, err
	}
	id.Cluster = clusterName(founders)
	id.Founders = founders
	return planFound, id, nil
}

// knownCluster returns the cluster that the others belong to, if any.
func knownCluster(others []introduction) (string, raft.Members, error) {
	cluster := ""
	var founders raft.Members
	for _, o := range others {
		if o.Cluster == "" {
			continue
		}
		if cluster != "" && cluster != o.Cluster {
			return "", nil, result.New(result.WrongCluster, "%s is of cluster %s, others of %s", o.Name, o.Cluster, cluster)
		}
		cluster = o.Cluster
		if len(o.Founders) > 0 {
			founders = o.Founders
		}
	}
	return cluster, founders, nil
}

// foundersOf returns the first membership; nil while a founder is missing.
func foundersOf(self introduction, others []introduction) (raft.Members, error) {
	var founders raft.Members
	for _, name := range self.Bootstrap {
		all := append([]introduction{self}, others...)
		at := slices.IndexFunc(all, func(o introduction) bool { return o.Name == name })
		if at < 0 || all[at].Volatile {
			return nil, nil
		}
		if !sameNames(all[at].Bootstrap, self.Bootstrap) {
			return nil, result.New(result.BadSetting, "%s names other founders: %v", name, all[at].Bootstrap)
		}
		founders = founders.With(raft.Member{ID: all[at].Replica, Name: name, Voter: true})
	}
	return founders, nil
}

func sameNames(a, b []string) bool {
	a, b = slices.Clone(a), slices.Clone(b)
	sort.Strings(a)
	sort.Strings(b)
	return slices.Equal(slices.Compact(a), slices.Compact(b))
}

// clusterName derives a cluster's name from its founders.
func clusterName(founders raft.Members) string {
	const nameBytes = 16
	h := sha256.New()
	for _, m := range founders {
		h.Write([]byte(m.ID + "\n"))
	}
	return hex.EncodeToString(h.Sum(nil)[:nameBytes])
}

// foundingSnapshot is the state that a founder's log begins with. It is not a
// file: identity and log together imply it.
func foundingSnapshot(id wal.Identity) raft.Snapshot {
	if len(id.Founders) == 0 {
		return raft.Snapshot{}
	}
	return raft.Snapshot{Index: foundingIndex, Term: foundingTerm, Members: id.Founders}
}

// loadIdentity reads the identity of the data folder or makes a new one.
func loadIdentity(cfg Config) (wal.Identity, error) {
	fresh := wal.Identity{Replica: uuid.New().String()}
	if cfg.diskless() {
		return fresh, nil
	}
	id, found, err := wal.LoadIdentity(cfg.FS, cfg.DataDir)
	if err != nil || found {
		return id, err
	}
	return fresh, wal.SaveIdentity(cfg.FS, cfg.DataDir, fresh)
}

// enterCluster makes the cluster of id this data folder's for good. The log
// comes first: an identity that names a cluster but has no log is damage, never
// a fresh start.
func enterCluster(cfg Config, id wal.Identity) error {
	if cfg.diskless() {
		return nil
	}
	if err := wal.Create(cfg.FS, cfg.DataDir); err != nil {
		return err
	}
	return wal.SaveIdentity(cfg.FS, cfg.DataDir, id)
}

// openDisk opens the log of a replica that belongs to a cluster.
func openDisk(cfg Config, id wal.Identity) (disk, raft.Stored, error) {
	if cfg.diskless() {
		return noDisk{}, raft.Stored{Snapshot: foundingSnapshot(id)}, nil
	}
	l, stored, err := wal.Open(cfg.FS, cfg.DataDir, foundingSnapshot(id))
	if err != nil {
		return nil, stored, err
	}
	l.SetSegmentBytes(cfg.SegmentBytes)
	return l, stored, nil
}
