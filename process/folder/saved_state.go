package folder

import (
	"encoding/json"
	"os"
	"path/filepath"
	"slices"

	"github.com/google/renameio/v2"

	"github.com/waxwingpost/waxwingpost/version/manifest"
)

// savedState is the state of the folder that a VM keeps across restarts. It is
// written and synced before the watcher acts on it.
type savedState struct {
	// FolderID is the ID that the folder's marker must contain.
	FolderID string `json:"folder"`
	// Revision is the accepted revision that the folder last held in full.
	Revision uint64 `json:"revision"`
	// KnownRevision is the highest accepted revision that this VM has seen.
	KnownRevision uint64 `json:"known"`
	// Files holds, for each file, the digest of the accepted content that the
	// watcher last saw or wrote in the folder.
	Files map[string]manifest.Digest `json:"files"`
	// PendingWrites holds the digests that a write-back in progress writes; the
	// zero digest is a removal. After a crash a file may be old or new.
	PendingWrites map[string]manifest.Digest `json:"writing,omitempty"`
	// PendingEdits holds the edits found in the folder that are not accepted.
	PendingEdits map[string]pendingEdit `json:"pins,omitempty"`
	// Outcomes holds the last outcome of an edit of each file.
	Outcomes map[string]outcome `json:"notes,omitempty"`
}

// pendingEdit records the base of an edit when it is first seen, so that every
// retry proposes the same command.
type pendingEdit struct {
	// Digest is the digest of the edited content; zero is a removal.
	Digest   manifest.Digest `json:"digest"`
	Base     manifest.Digest `json:"base"`
	Revision uint64          `json:"revision"`
	// Retry gives a refused edit a new command ID when it is proposed again: one
	// more than the revision at which it was refused, or 0.
	Retry uint64 `json:"try,omitempty"`
}

// Values of outcome.Decision.
const (
	decisionAccepted  = "accepted"
	decisionRefused   = "refused"
	decisionUndecided = "not-decided"
)

// outcome is the last decision on an edit of a file.
type outcome struct {
	Decision string          `json:"verdict"`
	Digest   manifest.Digest `json:"digest"`
	Code     int             `json:"code,omitempty"`
	Detail   string          `json:"detail,omitempty"`
	// Revision is the revision that the edit created, or the revision in force
	// when it was refused.
	Revision uint64 `json:"revision,omitempty"`
	// KeptPath is the copy of the refused content, stored beside the folder.
	KeptPath string `json:"kept,omitempty"`
}

func newSavedState() *savedState {
	return &savedState{
		Files:         make(map[string]manifest.Digest),
		PendingWrites: make(map[string]manifest.Digest),
		PendingEdits:  make(map[string]pendingEdit),
		Outcomes:      make(map[string]outcome),
	}
}

const savedStateName = "folder.json"

// loadSavedState reads the saved state from dataDir. It returns false if the
// state is missing or damaged. The watcher then adopts the folder as new, which
// is safe because no file of a new folder replaces an accepted file.
func loadSavedState(dataDir string) (*savedState, bool) {
	st := newSavedState()
	if dataDir == "" {
		return st, false
	}
	data, err := os.ReadFile(filepath.Join(dataDir, savedStateName))
	if err != nil {
		return st, false
	}
	if err := json.Unmarshal(data, st); err != nil || st.FolderID == "" {
		return newSavedState(), false
	}
	return st, true
}

// save writes the state atomically and syncs it. Without a data folder the
// state is lost when the process exits.
func (st *savedState) save(dataDir string) error {
	if dataDir == "" {
		return nil
	}
	data, err := json.MarshalIndent(st, "", " ")
	if err != nil {
		return err
	}
	if err := renameio.WriteFile(filepath.Join(dataDir, savedStateName), data, 0o600); err != nil {
		return err
	}
	return syncDir(dataDir)
}

// syncDir syncs a folder, so that renames and removals in it survive a crash.
func syncDir(path string) error {
	d, err := os.Open(path)
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}

func sortedNames[V any](table map[string]V) []string {
	names := make([]string, 0, len(table))
	for name := range table {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
