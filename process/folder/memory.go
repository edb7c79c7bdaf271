package folder

import (
	"encoding/json"
	"os"
	"path/filepath"
	"slices"

	"github.com/google/renameio/v2"

	"github.com/waxwingpost/waxwingpost/version/manifest"
)

// memory is what the VM remembers of its folder across restarts. It is
// written and synced before anything is done that rests on it.
type memory struct {
	// Folder is the identity that the folder's marker must bear.
	Folder string `json:"folder"`
	// Revision is the accepted revision that the folder was last in step with.
	Revision uint64 `json:"revision"`
	// Known is the highest accepted revision that this VM has heard of.
	Known uint64 `json:"known"`
	// Files holds the digest of the accepted content that each file of the
	// folder held when it was last in step.
	Files map[string]manifest.Digest `json:"files"`
	// Writing holds what a write-back was about to place; the zero digest
	// stands for a removal. A crash leaves the file either way.
	Writing map[string]manifest.Digest `json:"writing,omitempty"`
	// Pins holds the edits that were found in the folder and are not accepted.
	Pins map[string]pin `json:"pins,omitempty"`
	// Notes holds the last verdict on each file.
	Notes map[string]note `json:"notes,omitempty"`
}

// pin fixes what an edit was made upon when it was first seen, so that every
// resend of it is the same command.
type pin struct {
	// Digest is the edit's content; zero stands for a removal.
	Digest   manifest.Digest `json:"digest"`
	Base     manifest.Digest `json:"base"`
	Revision uint64          `json:"revision"`
	// Try is the revision in force when a refused edit was sent again.
	Try uint64 `json:"try,omitempty"`
}

// Verdicts of a note.
const (
	verdictAccepted  = "accepted"
	verdictRefused   = "refused"
	verdictUndecided = "not-decided"
)

// note is the last verdict on an edit of a file.
type note struct {
	Verdict string          `json:"verdict"`
	Digest  manifest.Digest `json:"digest"`
	Code    int             `json:"code,omitempty"`
	Detail  string          `json:"detail,omitempty"`
	// Revision is the revision that the edit made, or the one in force when it
	// was refused.
	Revision uint64 `json:"revision,omitempty"`
	// Kept is the file beside the folder that holds the refused content.
	Kept string `json:"kept,omitempty"`
}

func newMemory() *memory {
	return &memory{
		Files:   make(map[string]manifest.Digest),
		Writing: make(map[string]manifest.Digest),
		Pins:    make(map[string]pin),
		Notes:   make(map[string]note),
	}
}

const memoryName = "folder.json"

// loadMemory reads the memory under dataDir. It returns false when there is
// none or it is damaged; then the folder counts as never seen before, which
// is safe: nothing in it replaces an accepted file.
func loadMemory(dataDir string) (*memory, bool) {
	m := newMemory()
	if dataDir == "" {
		return m, false
	}
	data, err := os.ReadFile(filepath.Join(dataDir, memoryName))
	if err != nil {
		return m, false
	}
	if err := json.Unmarshal(data, m); err != nil || m.Folder == "" {
		return newMemory(), false
	}
	return m, true
}

// save writes the memory atomically and syncs it. Without a data folder the
// memory lasts as long as the process.
func (m *memory) save(dataDir string) error {
	if dataDir == "" {
		return nil
	}
	data, err := json.MarshalIndent(m, "", " ")
	if err != nil {
		return err
	}
	if err := renameio.WriteFile(filepath.Join(dataDir, memoryName), data, 0o600); err != nil {
		return err
	}
	return syncDir(dataDir)
}

// syncDir makes renames and removals in a folder last.
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
