package forward

import (
	"bytes"
	"strconv"
	"strings"

	"github.com/waxwingpost/waxwingpost/platform"
	"github.com/waxwingpost/waxwingpost/process/directory"
	"github.com/waxwingpost/waxwingpost/request/placement"
)

// maxLoggedVersions bounds the versions of weights that are logged for one response.
const maxLoggedVersions = 8

// triedServer is a server that a request was sent to, as it is logged.
type triedServer struct {
	Server string
	// Born is the server's start in Unix milliseconds.
	Born int64
	// Expected is the version of the request's model that was verified at the server, else
	// the one that it was listed with, or 0 if its service has no weights.
	Expected int
	// Answered lists the versions that the response named: that of its header, and each later
	// one with the event from which it was used.
	Answered string
	// Events is the number of its events that were forwarded to the caller.
	Events int
}

// newTriedServer describes the server of a lease before its response.
func newTriedServer(cr *callerRequest, l *placement.Lease) triedServer {
	expected := directory.VerifiedVersion(l.Server.Verified, cr.tokens.Model)
	if expected == 0 {
		expected = directory.VersionOf(l.Server.Held, cr.tokens.Model)
	}
	if expected == 0 {
		expected = l.Server.WeightsVersion
	}
	return triedServer{Server: l.Server.ID, Born: l.Server.Born, Expected: expected, Answered: "none"}
}

// appendTried appends the log attribute of the servers that the request was sent to, if one of
// them has weights.
func (cr *callerRequest) appendTried(attrs []any) []any {
	for i := range cr.tried {
		if cr.tried[i].Expected != 0 || cr.tried[i].Answered != "none" {
			return append(attrs, "attempts", cr.tried)
		}
	}
	return attrs
}

// recordEvents records how many of the events that the caller was sent are those of an attempt: all
// that are not another one's.
func (cr *callerRequest) recordEvents(a *attempt) {
	t := &cr.tried[a.number]
	t.Events = cr.eventsSent
	for i := range cr.tried {
		if i != a.number {
			t.Events -= cr.tried[i].Events
		}
	}
}

// recordWeights adds what the response of an attempt that has ended says of its weights, and
// counts a request that may have run on another version than the server was listed with.
func (h *Handler) recordWeights(cr *callerRequest, a *attempt) {
	cr.recordEvents(a)
	t := &cr.tried[a.number]
	if a.weights.text == "" {
		return
	}
	t.Answered = a.weights.text
	if t.Expected != 0 && a.result != resultNotRun && (a.weights.count > 1 || a.weights.last != t.Expected) {
		h.metrics.weightsUnexpected.Inc(1)
	}
}

// versionTrace collects the versions of weights that a response names.
type versionTrace struct {
	text string
	// last is the version named last, and count the number of versions.
	last, count int
}

// recordHeader records the version that the header of a response names.
func (t *versionTrace) recordHeader(value string) { t.record(value, "") }

// recordEvent records the version that an event names in its first line.
func (t *versionTrace) recordEvent(event []byte, id int64) {
	line, ok := bytes.CutPrefix(event, []byte(platform.FieldWeightsVersion+":"))
	if !ok {
		return
	}
	line, _, _ = bytes.Cut(line, []byte("\n"))
	t.record(string(line), "@"+strconv.FormatInt(id, 10))
}

func (t *versionTrace) record(value, position string) {
	version, err := strconv.Atoi(strings.TrimSpace(value))
	if err != nil || version == t.last || t.count == maxLoggedVersions {
		return
	}
	if t.text != "" {
		t.text += ","
	}
	t.text += strconv.Itoa(version) + position
	t.last = version
	t.count++
}
