package wal

import (
	"io/fs"
	"path/filepath"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/waxwingpost/waxwingpost/process/control/raft"
	"github.com/waxwingpost/waxwingpost/process/result"
)

// Identity identifies a replica. It is created once for a data folder; a VM that
// lost its disk returns as a different replica.
type Identity struct {
	// Replica is the replica's globally unique ID, which is never reused.
	Replica string `cbor:"1,keyasint" json:"replica"`
	// Cluster is empty until the replica bootstraps or joins one. It never
	// changes afterwards.
	Cluster string `cbor:"2,keyasint,omitempty" json:"cluster"`
	// InitialMembers is the first membership, set on the replicas that
	// bootstrapped the cluster.
	InitialMembers raft.Members `cbor:"3,keyasint,omitempty" json:"founders,omitempty"`
}

// LoadIdentity reads the identity of a data folder, or returns false if it has
// none.
func LoadIdentity(fsys FS, dir string) (Identity, bool, error) {
	var id Identity
	data, err := fsys.ReadFile(filepath.Join(dir, identityName))
	if errors.Is(err, fs.ErrNotExist) {
		return id, false, nil
	}
	if err != nil {
		return id, false, result.New(result.DiskFailed, "read identity: %v", err)
	}
	body, _, err := decodeRecord(data, 0, 0)
	if err == nil {
		err = cbor.Unmarshal(body, &id)
	}
	if err != nil {
		return id, false, result.New(result.LogDamaged, "decode identity: %v", err)
	}
	return id, true, nil
}

// SaveIdentity replaces the identity of a data folder.
func SaveIdentity(fsys FS, dir string, id Identity) error {
	body, err := cbor.Marshal(id)
	if err != nil {
		return errors.Wrap(err, "encode identity")
	}
	data, _ := encodeRecord(0, body)
	if err := replaceFile(fsys, dir, identityName, data); err != nil {
		return result.New(result.DiskFailed, "save identity: %v", err)
	}
	return nil
}
