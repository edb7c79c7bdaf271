package feed

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/waxwingpost/waxwingpost/platform"
)

// PeerAddresses returns the peer addresses of the seeds.
func PeerAddresses(settings *platform.Settings) []string {
	var addresses []string
	for _, s := range settings.Seeds {
		addresses = append(addresses, settings.PeerAddress(s))
	}
	return addresses
}

// RendezvousOrder returns a function that sorts addresses by their rendezvous
// hash with self, so that followers spread over the control processes.
func RendezvousOrder(self string) func([]string) []string {
	return func(addresses []string) []string {
		sorted := slices.Clone(addresses)
		slices.SortFunc(sorted, func(a, b string) int {
			return cmp.Compare(xxhash.Sum64String(self+a), xxhash.Sum64String(self+b))
		})
		return sorted
	}
}
