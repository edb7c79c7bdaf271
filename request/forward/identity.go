package forward

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"io"

	"github.com/waxwingpost/waxwingpost/request/quarantine"
)

// identityBytes is the length of an identity. Callers choose all that it depends on, so it
// must be too long for a collision to be found.
const identityBytes = 16

// identity returns a digest of what a repetition of the request has in common with it: the
// caller, the method, the target and the body, but not its ID or the deadline.
func (cr *callerRequest) identity() string {
	account := ""
	if cr.account != nil {
		account = cr.account.Name
	}
	sum := sha256.New()
	for _, field := range []string{account, cr.request.Method, stripPort(cr.request.Host), cr.request.RequestURI} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(field)))
		_, _ = sum.Write(length[:])
		_, _ = io.WriteString(sum, field)
	}
	_, _ = sum.Write(cr.body)
	return hex.EncodeToString(sum.Sum(nil)[:identityBytes])
}

// digest returns the identity of a resolved request.
func (cr *callerRequest) digest() string { return cr.candidates[0].Part.ID }

// setCandidates sets what the quarantine may suspect: the request, and the shared parts of
// its prompt.
func (cr *callerRequest) setCandidates() {
	cr.candidates = append([]quarantine.Candidate{quarantine.RequestCandidate(cr.service, cr.identity())}, cr.partCandidates()...)
}

// partCandidates returns what the quarantine may suspect of the parts of the prompt.
func (cr *callerRequest) partCandidates() []quarantine.Candidate {
	if !cr.route.Generation {
		return nil
	}
	return quarantine.Candidates(cr.tokens.Model, cr.parts)
}
