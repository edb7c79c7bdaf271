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

// initialIndex and initialTerm are the log position of a cluster's initial
// state, which is empty and has the bootstrapping replicas as voters.
const (
	initialIndex = 1
	initialTerm  = 1
)

// replicaInfo is what a replica sends to others about itself (KindBootstrap).
// Join asks the leader to add the sender as a learner, Release to take its vote because it
// is about to stop.
type replicaInfo struct {
	Name           string       `cbor:"1,keyasint"`
	Replica        string       `cbor:"2,keyasint"`
	Cluster        string       `cbor:"3,keyasint,omitempty"`
	Volatile       bool         `cbor:"4,keyasint,omitempty"`
	Bootstrap      []string     `cbor:"5,keyasint,omitempty"`
	InitialMembers raft.Members `cbor:"6,keyasint,omitempty"`
	// Leader is the name of the leader's VM, if the sender knows it.
	Leader string `cbor:"7,keyasint,omitempty"`
	Join   bool   `cbor:"8,keyasint,omitempty"`
	// Members are the names of the members' VMs as far as the sender knows them, so
	// that a replica that is not a member can link to the leader.
	Members []string `cbor:"9,keyasint,omitempty"`
	Release bool     `cbor:"10,keyasint,omitempty"`
}

// startAction is what a replica without a cluster does next.
type startAction uint8

const (
	startWait startAction = iota
	startBootstrap
	startJoin
)

// chooseStartAction decides whether a replica without a cluster bootstraps one,
// joins one or waits. queried is the number of entries whose replies are required to
// bootstrap, replies holds the answers received.
//
// A cluster is bootstrapped only if all entries replied and none has ever been
// in a cluster, because an entry that did not reply may hold committed state.
// A data folder never changes its cluster, and each initial member is listed by
// its identity, so two clusters can't both have a majority of initial members.
func chooseStartAction(self replicaInfo, replies []replicaInfo, queried int) (startAction, wal.Identity, error) {
	id := wal.Identity{Replica: self.Replica}
	cluster, members, err := clusterOf(replies)
	switch {
	case err != nil:
		return startWait, id, err
	case cluster != "":
		id.Cluster = cluster
		if members.IsVoter(self.Replica) {
			id.InitialMembers = members
			return startBootstrap, id, nil
		}
		return startJoin, id, nil
	case len(replies) < queried || self.Volatile || !slices.Contains(self.Bootstrap, self.Name):
		return startWait, id, nil
	}
	members, err = initialMembers(self, replies)
	if err != nil || members == nil {
		return startWait, id, err
	}
	id.Cluster = deriveClusterID(members)
	id.InitialMembers = members
	return startBootstrap, id, nil
}

// clusterOf returns the cluster and the initial members that the replies name,
// if any.
func clusterOf(replies []replicaInfo) (string, raft.Members, error) {
	cluster := ""
	var members raft.Members
	for _, reply := range replies {
		if reply.Cluster == "" {
			continue
		}
		if cluster != "" && cluster != reply.Cluster {
			return "", nil, result.New(result.WrongCluster, "%s belongs to cluster %s, others to %s", reply.Name, reply.Cluster, cluster)
		}
		cluster = reply.Cluster
		if len(reply.InitialMembers) > 0 {
			members = reply.InitialMembers
		}
	}
	return cluster, members, nil
}

// initialMembers returns the initial membership, or nil while the reply of one
// of its VMs is missing.
func initialMembers(self replicaInfo, replies []replicaInfo) (raft.Members, error) {
	var members raft.Members
	for _, name := range self.Bootstrap {
		all := append([]replicaInfo{self}, replies...)
		i := slices.IndexFunc(all, func(info replicaInfo) bool { return info.Name == name })
		if i < 0 || all[i].Volatile {
			return nil, nil
		}
		if !equalNameSets(all[i].Bootstrap, self.Bootstrap) {
			return nil, result.New(result.BadSetting, "%s has a different bootstrap list: %v", name, all[i].Bootstrap)
		}
		members = members.With(raft.Member{ID: all[i].Replica, Name: name, Voter: true})
	}
	return members, nil
}

func equalNameSets(a, b []string) bool {
	a, b = slices.Clone(a), slices.Clone(b)
	sort.Strings(a)
	sort.Strings(b)
	return slices.Equal(slices.Compact(a), slices.Compact(b))
}

// deriveClusterID returns the cluster ID, a digest of the initial members' IDs.
func deriveClusterID(members raft.Members) string {
	const idBytes = 16
	h := sha256.New()
	for _, m := range members {
		h.Write([]byte(m.ID + "\n"))
	}
	return hex.EncodeToString(h.Sum(nil)[:idBytes])
}

// initialSnapshot returns the state at which the log of an initial member
// starts. It is not stored as a file, since the identity determines it.
func initialSnapshot(id wal.Identity) raft.Snapshot {
	if len(id.InitialMembers) == 0 {
		return raft.Snapshot{}
	}
	return raft.Snapshot{Index: initialIndex, Term: initialTerm, Members: id.InitialMembers}
}

// loadOrCreateIdentity reads the identity from the data folder. If there is
// none it creates and saves a new one.
func loadOrCreateIdentity(cfg Config) (wal.Identity, error) {
	newIdentity := wal.Identity{Replica: uuid.New().String()}
	if cfg.diskless() {
		return newIdentity, nil
	}
	id, found, err := wal.LoadIdentity(cfg.FS, cfg.DataDir)
	if err != nil || found {
		return id, err
	}
	return newIdentity, wal.SaveIdentity(cfg.FS, cfg.DataDir, newIdentity)
}

// persistClusterIdentity permanently assigns the data folder to the cluster that
// id names. The log is created first, because an identity that names a cluster
// but has no log is treated as damage, never as a new replica.
func persistClusterIdentity(cfg Config, id wal.Identity) error {
	if cfg.diskless() {
		return nil
	}
	if err := wal.Create(cfg.FS, cfg.DataDir); err != nil {
		return err
	}
	return wal.SaveIdentity(cfg.FS, cfg.DataDir, id)
}

// openStorage opens the log of a replica that belongs to a cluster.
func openStorage(cfg Config, id wal.Identity) (storage, raft.StoredState, error) {
	if cfg.diskless() {
		return discardStorage{}, raft.StoredState{Snapshot: initialSnapshot(id)}, nil
	}
	l, stored, err := wal.Open(cfg.FS, cfg.DataDir, initialSnapshot(id))
	if err != nil {
		return nil, stored, err
	}
	l.SetSegmentBytes(cfg.SegmentBytes)
	return l, stored, nil
}
