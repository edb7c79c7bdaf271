package rollout

import (
	"context"
	"sort"

	"github.com/google/uuid"

	"github.com/waxwingpost/waxwingpost/process/config"
	"github.com/waxwingpost/waxwingpost/process/control"
	"github.com/waxwingpost/waxwingpost/process/result"
)

// registerMissing commits the manifest of every version that a service names
// and that is not registered yet.
func (r *Runner) registerMissing(ctx context.Context, cfg *config.Config) {
	wanted := make([]string, 0, len(cfg.Versions))
	for name := range wantedVersions(cfg) {
		wanted = append(wanted, name)
	}
	sort.Strings(wanted)
	r.forgetFailures(wanted)
	for _, name := range wanted {
		if err := r.checkRegistered(cfg, name); err != nil {
			r.noteFailure(name, err)
			continue
		}
		if _, ok := r.state.Manifest(name); ok || r.mustWait(name) {
			continue
		}
		if err := r.register(ctx, cfg, name); err != nil {
			r.noteFailure(name, err)
		}
	}
}

// checkRegistered returns a conflict where the configuration names another
// digest than the one that is registered for good.
func (r *Runner) checkRegistered(cfg *config.Config, name string) error {
	m, ok := r.state.Manifest(name)
	want := cfg.Versions[name].Digest
	if !ok || want.IsZero() || want == m.Digest() {
		return nil
	}
	return result.New(result.VersionConflict, "%s is registered as %s, configured as %s", name, m.Digest(), want)
}

func (r *Runner) register(ctx context.Context, cfg *config.Config, name string) error {
	ctx, cancel := context.WithTimeout(ctx, r.cfg.ProposeTimeout)
	defer cancel()
	version := cfg.Versions[name]
	m, err := r.read(ctx, version)
	if err != nil {
		return err
	}
	registered := *m
	registered.Version = name
	if err := registered.Validate(); err != nil {
		return err
	}
	if !version.Digest.IsZero() && version.Digest != registered.Digest() {
		return result.New(result.ManifestInvalid, "%s: the source has %s, configured is %s", name, registered.Digest(), version.Digest)
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
	delete(r.failures, name)
	return nil
}

func (r *Runner) mustWait(name string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.clock.Now().Before(r.failures[name].RetryAt)
}

func (r *Runner) noteFailure(name string, err error) {
	e := result.From(err)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.failures[name].Detail != e.Error() {
		r.log.Warn("version not registered", "version", name, "code", int(e.Code), "name", e.Code.Name(), "detail", e.Detail)
	}
	r.failures[name] = registration{
		Code:    int(e.Code),
		Detail:  e.Error(),
		RetryAt: r.clock.Now().Add(r.cfg.RegisterRetry),
	}
}

// forgetFailures drops failures of versions that no service names any more.
func (r *Runner) forgetFailures(wanted []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name := range r.failures {
		if i := sort.SearchStrings(wanted, name); i == len(wanted) || wanted[i] != name {
			delete(r.failures, name)
		}
	}
}
