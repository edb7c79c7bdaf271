package state

import (
	"fmt"

	"github.com/waxwingpost/waxwingpost/process/config"
	"github.com/waxwingpost/waxwingpost/process/control"
	"github.com/waxwingpost/waxwingpost/process/result"
	"github.com/waxwingpost/waxwingpost/version/manifest"
)

// registered is a manifest with the record of its registration.
type registered struct {
	Manifest manifest.Manifest `cbor:"1,keyasint"`
	Index    uint64            `cbor:"2,keyasint"`
	Time     int64             `cbor:"3,keyasint"`
	VM       string            `cbor:"4,keyasint"`
	Term     uint64            `cbor:"5,keyasint"`
	digest   manifest.Digest
}

// PlacedOrder is an order with the record of who placed it.
type PlacedOrder struct {
	Order control.Order `cbor:"1,keyasint" json:"order"`
	Time  int64         `cbor:"2,keyasint" json:"time_unix_ms"`
	VM    string        `cbor:"3,keyasint" json:"vm"`
}

// applyRegister commits the manifest of a version for good.
func (m *Machine) applyRegister(cmd control.Command) control.Result {
	mf := cmd.Register.Manifest
	if err := mf.Validate(); err != nil {
		return refusal(result.ManifestInvalid, err.Error())
	}
	digest := mf.Digest()
	if want := m.view.Load().config.Versions[mf.Version].Digest; !want.IsZero() && want != digest {
		return refusal(result.VersionConflict, fmt.Sprintf("%s: the configuration names %s, the manifest has %s", mf.Version, want, digest))
	}
	if have, ok := m.manifests[mf.Version]; ok {
		if have.digest != digest {
			return refusal(result.VersionConflict, fmt.Sprintf("%s: registered with %s, the manifest has %s", mf.Version, have.digest, digest))
		}
		return control.Result{Index: have.Index, Term: have.Term}
	}
	m.manifests[mf.Version] = &registered{Manifest: mf, Index: m.index, Time: m.stamp, VM: cmd.VM, Term: m.term, digest: digest}
	return control.Result{}
}

// checkDigests refuses a configuration that names another digest than the one
// that a version is registered with.
func (m *Machine) checkDigests(c *config.Config) []*result.Error {
	var problems []*result.Error
	for _, name := range sortedKeys(c.Versions) {
		want := c.Versions[name].Digest
		have, ok := m.manifests[name]
		if !ok || want.IsZero() || want == have.digest {
			continue
		}
		e := result.New(result.VersionConflict, "%s is registered with %s", want, have.digest)
		e.Field = "versions." + name + ".digest"
		e.Remedy = "give the new weights a new version name"
		problems = append(problems, e)
	}
	return problems
}

// applyOrder sets an agent's order if After names the one in force.
func (m *Machine) applyOrder(cmd control.Command) control.Result {
	o := cmd.Order
	current := m.orders[o.Agent]
	if o.Agent == "" {
		return refusal(result.BadCommand, "the order names no agent")
	}
	if current.Fence.Index != o.After {
		return refusal(result.OrderSuperseded, fmt.Sprintf("%s: made after order %d, but order %d is in force",
			o.Agent, o.After, current.Fence.Index))
	}
	placed := control.Order{PlaceOrder: *o, Fence: control.Fence{Term: m.term, Index: m.index}}
	m.orders[o.Agent] = placed
	m.placed = append(m.placed, PlacedOrder{Order: placed, Time: m.stamp, VM: shorten(cmd.VM, maxHistoryName)})
	if len(m.placed) > m.opts.MaxOrders {
		m.placed = m.placed[1:]
	}
	return control.Result{}
}
