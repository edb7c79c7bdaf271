package feed

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/waxwingpost/waxwingpost/platform"
)

// PeerAddresses returns the peer addresses of the seeds.
func PeerAddresses(set *platform.Settings) []string {
	var addresses []string
	for _, s := range set.Seeds {
		addresses = append(addresses, set.PeerAddress(s))
	}
	return addresses
}

// Spread returns an order of addresses that differs from one self to another,
// so that followers share the control processes.
func Spread(self string) func([]string) []string {
	return func(addresses []string) []string {
		order := slices.Clone(addresses)
		slices.SortFunc(order, func(a, b string) int {
			return cmp.Compare(xxhash.Sum64String(self+a), xxhash.Sum64String(self+b))
		})
		return order
	}
}
