package feed

import (
	"context"

	"github.com/waxwingpost/waxwingpost/connection/wire"
	"github.com/waxwingpost/waxwingpost/platform"
	"github.com/waxwingpost/waxwingpost/process/control/desired"
	"github.com/waxwingpost/waxwingpost/process/deployment"
	"github.com/waxwingpost/waxwingpost/process/result"
)

// fetchPendingConfig requests the configuration if a newer one is wanted. It reports
// whether nothing is left to fetch.
func (f *Follower) fetchPendingConfig(ctx context.Context) bool {
	f.mu.Lock()
	due := f.fetchPending && (f.config == nil || f.config.Version < f.wantedVersion)
	wanted := f.wantedVersion
	if !due {
		f.fetchPending = false
	}
	f.mu.Unlock()
	return !due || f.requestConfig(ctx, wanted)
}

// requestConfig calls the linked control processes, preferred ones first, until one
// returns the wanted version. It reports whether one did.
func (f *Follower) requestConfig(ctx context.Context, wanted uint64) bool {
	for _, address := range f.controlsByPreference() {
		c := f.mesh.Conn(address)
		if c == nil {
			continue
		}
		var doc wire.ConfigDocument
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		err := c.Call(callCtx, wire.KindConfigDocument, wire.ConfigDocumentQuery{Version: wanted}, &doc)
		cancel()
		if err != nil || doc.Version < wanted {
			f.log.Info("control process did not return the configuration", "control", address, "wanted", wanted, "had", doc.Version, "error", err)
			f.markBehind(address)
			continue
		}
		return f.applyDocument(doc)
	}
	return false
}

// applyDocument puts a configuration document in force if it is newer. It always
// returns true, even if the document can't be decoded, so that it is not requested
// again at retryInterval.
func (f *Follower) applyDocument(doc wire.ConfigDocument) bool {
	document, err := desired.Decompress(doc.Content)
	var config *deployment.Config
	if err == nil {
		config, err = ParseConfig(document)
	}
	if err != nil {
		f.log.Error("failed to decode configuration", "version", doc.Version, "code", int(result.CodeOf(err)), "error", err)
		return true
	}
	f.publishMu.Lock()
	defer f.publishMu.Unlock()
	f.mu.Lock()
	if f.config != nil && f.config.Version >= config.Version {
		f.mu.Unlock()
		return true
	}
	// The configuration does not take effect without the evacuations of its revision.
	f.applyEvacuations(doc.Evacuations)
	f.config = config
	view := f.buildView(false)
	f.mu.Unlock()
	f.log.Info("configuration in force", "version", config.Version, "routes", len(config.Routes), "accounts", len(config.Accounts))
	f.publishView(view)
	return true
}

// ParseConfig decodes and validates a configuration document.
func ParseConfig(document []byte) (*deployment.Config, error) {
	config, err := platform.DecodeConfig(document)
	if err != nil {
		return nil, err
	}
	return config, config.Validate()
}
