package pieces

// ReleaseExpired frees the pieces of the versions of a model that are expired. Their manifests
// stay, since the digests identify staged pieces. It returns the number of pieces freed.
func (s *Store) ReleaseExpired(model string, expired func(version int) bool) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	freed := 0
	for k, v := range s.versions {
		if k.Model != model || !expired(k.Version) {
			continue
		}
		for i, data := range v.pieces {
			if data != nil {
				v.pieces[i] = nil
				freed++
			}
		}
	}
	return freed
}
