package state

import (
	"fmt"

	"github.com/waxwingpost/waxwingpost/process/config"
	"github.com/waxwingpost/waxwingpost/process/control"
	"github.com/waxwingpost/waxwingpost/process/result"
	"github.com/waxwingpost/waxwingpost/version/manifest"
)

// registration is a registered manifest and where and when it was registered.
type registration struct {
	Manifest manifest.Manifest `cbor:"1,keyasint"`
	Index    uint64            `cbor:"2,keyasint"`
	Time     int64             `cbor:"3,keyasint"`
	VM       string            `cbor:"4,keyasint"`
	Term     uint64            `cbor:"5,keyasint"`
	digest   manifest.Digest
}

// PlacedOrder is an order with the time and VM of its proposal.
type PlacedOrder struct {
	Order control.Order `cbor:"1,keyasint" json:"order"`
	Time  int64         `cbor:"2,keyasint" json:"time_unix_ms"`
	VM    string        `cbor:"3,keyasint" json:"vm"`
}

// applyRegister permanently registers the manifest of a version.
func (m *Machine) applyRegister(cmd control.Command) control.Result {
	mf := cmd.Register.Manifest
	if err := mf.Validate(); err != nil {
		return rejection(result.ManifestInvalid, err.Error())
	}
	digest := mf.Digest()
	if want := m.active.Load().config.Versions[mf.Version].Digest; !want.IsZero() && want != digest {
		return rejection(result.VersionConflict, fmt.Sprintf("%s: the configuration has digest %s, the manifest %s", mf.Version, want, digest))
	}
	if existing, ok := m.manifests[mf.Version]; ok {
		if existing.digest != digest {
			return rejection(result.VersionConflict, fmt.Sprintf("%s: registered with digest %s, the manifest has %s", mf.Version, existing.digest, digest))
		}
		return control.Result{Index: existing.Index, Term: existing.Term}
	}
	m.manifests[mf.Version] = &registration{Manifest: mf, Index: m.index, Time: m.proposedAt, VM: cmd.VM, Term: m.term, digest: digest}
	return control.Result{}
}

// checkDigests reports the versions of a configuration whose digest differs from
// that of the registered manifest.
func (m *Machine) checkDigests(c *config.Config) []*result.Error {
	var problems []*result.Error
	for _, name := range sortedKeys(c.Versions) {
		want := c.Versions[name].Digest
		existing, ok := m.manifests[name]
		if !ok || want.IsZero() || want == existing.digest {
			continue
		}
		e := result.New(result.VersionConflict, "%s differs from the registered digest %s", want, existing.digest)
		e.Field = "versions." + name + ".digest"
		e.Remedy = "give the new weights a new version name"
		problems = append(problems, e)
	}
	return problems
}

// applyOrder replaces an agent's order if After is the fence index of the order
// in force.
func (m *Machine) applyOrder(cmd control.Command) control.Result {
	o := cmd.Order
	current := m.orders[o.Agent]
	if o.Agent == "" {
		return rejection(result.BadCommand, "the order has no agent")
	}
	if current.Fence.Index != o.After {
		return rejection(result.OrderSuperseded, fmt.Sprintf("%s: based on order %d, but order %d is in force",
			o.Agent, o.After, current.Fence.Index))
	}
	placed := control.Order{PlaceOrder: *o, Fence: control.Fence{Term: m.term, Index: m.index}}
	m.orders[o.Agent] = placed
	m.placedOrders = append(m.placedOrders, PlacedOrder{Order: placed, Time: m.proposedAt, VM: truncate(cmd.VM, maxHistoryName)})
	if len(m.placedOrders) > m.opts.MaxPlacedOrders {
		m.placedOrders = m.placedOrders[1:]
	}
	return control.Result{}
}
