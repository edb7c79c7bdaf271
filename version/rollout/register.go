package rollout

import (
	"context"
	"sort"

	"github.com/google/uuid"

	"github.com/waxwingpost/waxwingpost/process/config"
	"github.com/waxwingpost/waxwingpost/process/control"
	"github.com/waxwingpost/waxwingpost/process/result"
)

// registerVersions registers the manifest of every version that a service uses
// and that is not registered yet.
func (r *Runner) registerVersions(ctx context.Context, cfg *config.Config) {
	names := make([]string, 0, len(cfg.Versions))
	for name := range configuredVersions(cfg) {
		names = append(names, name)
	}
	sort.Strings(names)
	r.pruneFailures(names)
	for _, name := range names {
		if err := r.checkDigestConflict(cfg, name); err != nil {
			r.recordFailure(name, err)
			continue
		}
		if _, ok := r.state.Manifest(name); ok || r.inBackoff(name) {
			continue
		}
		if err := r.registerVersion(ctx, cfg, name); err != nil {
			r.recordFailure(name, err)
		}
	}
}

// checkDigestConflict returns an error if the configured digest differs from the
// registered one. A registered manifest never changes.
func (r *Runner) checkDigestConflict(cfg *config.Config, name string) error {
	m, ok := r.state.Manifest(name)
	want := cfg.Versions[name].Digest
	if !ok || want.IsZero() || want == m.Digest() {
		return nil
	}
	return result.New(result.VersionConflict, "version %s is registered with digest %s, configured with %s", name, m.Digest(), want)
}

func (r *Runner) registerVersion(ctx context.Context, cfg *config.Config, name string) error {
	ctx, cancel := context.WithTimeout(ctx, r.cfg.ProposeTimeout)
	defer cancel()
	version := cfg.Versions[name]
	m, err := r.readManifest(ctx, version)
	if err != nil {
		return err
	}
	registered := *m
	registered.Version = name
	if err := registered.Validate(); err != nil {
		return err
	}
	if !version.Digest.IsZero() && version.Digest != registered.Digest() {
		return result.New(result.ManifestInvalid, "version %s: digest of the source is %s, configured is %s", name, registered.Digest(), version.Digest)
	}
	cmd := control.Command{ID: uuid.New().String(), Register: &control.RegisterVersion{Manifest: registered}}
	res, err := r.store.Propose(ctx, cmd)
	if err != nil {
		return err
	}
	if res.Code != 0 {
		return result.New(result.Code(res.Code), "%s", res.Detail)
	}
	r.log.Info("version registered", "version", name, "digest", registered.Digest().String(),
		"bytes", registered.Size(), "chunks", len(registered.Chunks))
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.registrationFailures, name)
	return nil
}

func (r *Runner) inBackoff(name string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.clock.Now().Before(r.registrationFailures[name].RetryAt)
}

func (r *Runner) recordFailure(name string, err error) {
	e := result.From(err)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.registrationFailures[name].Detail != e.Error() {
		r.log.Warn("failed to register version", "version", name, "code", int(e.Code), "name", e.Code.Name(), "detail", e.Detail)
	}
	r.registrationFailures[name] = registrationFailure{
		Code:    int(e.Code),
		Detail:  e.Error(),
		RetryAt: r.clock.Now().Add(r.cfg.RegisterRetryDelay),
	}
}

// pruneFailures drops the failures of versions that no service uses any more.
// It relies on names being sorted.
func (r *Runner) pruneFailures(names []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name := range r.registrationFailures {
		if i := sort.SearchStrings(names, name); i == len(names) || names[i] != name {
			delete(r.registrationFailures, name)
		}
	}
}
