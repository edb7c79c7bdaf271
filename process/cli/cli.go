// Package cli implements the subcommands that both binaries share. All of them are
// read-only.
package cli

import (
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"runtime/debug"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/waxwingpost/waxwingpost/connection/httphead"
	"github.com/waxwingpost/waxwingpost/connection/link"
	"github.com/waxwingpost/waxwingpost/connection/wire"
	"github.com/waxwingpost/waxwingpost/process/result"
	"github.com/waxwingpost/waxwingpost/process/runtime"
	"github.com/waxwingpost/waxwingpost/process/telemetry"
)

// Exit statuses of both binaries.
const (
	ExitOK = 0
	// ExitFailed means that the process or command failed at run time.
	ExitFailed = 1
	// ExitSettings means that a flag or environment variable is invalid.
	ExitSettings = 2
	// ExitRefused means that the configuration was refused.
	ExitRefused = 3
	// ExitNotFound means that no record exists for the query.
	ExitNotFound = 4
)

const queryTimeout = 10 * time.Second

// Target is the process that a command queries.
type Target struct {
	Address string `help:"IP:PORT of the process's peer listener." required:"" env:"WAXWINGPOST_ADDRESS"`
	JoinKey string `help:"The join key of the fleet." env:"WAXWINGPOST_JOIN_KEY"`
}

// State prints the state dump of a running process.
type State struct {
	Target
}

// Run implements the subcommand.
func (s *State) Run(out io.Writer) error {
	return s.get(out, wire.PathState, nil)
}

// Explain prints the record of a revision, version, order, file, call or
// request.
type Explain struct {
	Target
	Query string `arg:"" help:"revision:N, version:NAME, order:AGENT, file:NAME, call:ACCOUNT/KEY or request:ID."`
}

// Run implements the subcommand.
func (e *Explain) Run(out io.Writer) error {
	return e.get(out, wire.PathExplain, url.Values{telemetry.QueryParameter: {e.Query}})
}

func (t *Target) get(out io.Writer, path string, query url.Values) error {
	u := url.URL{Scheme: "http", Host: t.Address, Path: path, RawQuery: query.Encode()}
	req, err := http.NewRequest(http.MethodGet, u.String(), nil)
	if err != nil {
		return err
	}
	link.Authenticator{Key: t.JoinKey}.SetJoinKey(req)
	resp, err := newClient().Do(req)
	if err != nil {
		return errors.Wrap(err, "query the process")
	}
	defer func() { _ = resp.Body.Close() }()
	return copyResponse(out, resp)
}

func newClient() *http.Client {
	return &http.Client{Timeout: queryTimeout, Transport: runtime.NewTransport()}
}

// copyResponse writes the response body to out, or returns an error with the
// result code that matches the HTTP status. It fails if it is unknown whether the body is whole.
func copyResponse(out io.Writer, resp *http.Response) error {
	if !httphead.IsDelimited(resp) {
		return result.New(result.BadMessage, "the response with status %d is not delimited", resp.StatusCode)
	}
	if resp.StatusCode == http.StatusOK {
		_, err := io.Copy(out, resp.Body)
		return err
	}
	detail, _ := io.ReadAll(io.LimitReader(resp.Body, 4096))
	code := result.BadRequest
	switch resp.StatusCode {
	case http.StatusNotFound:
		code = result.NotFound
	case http.StatusForbidden:
		code = result.Unauthenticated
	}
	return result.New(code, "%s", detail)
}

// Version prints the protocol version and the build information.
type Version struct{}

// Run implements the subcommand.
func (v *Version) Run(out io.Writer) error {
	build := map[string]any{"protocol": wire.Version}
	if info, ok := debug.ReadBuildInfo(); ok {
		build["go"] = info.GoVersion
		build["module"] = info.Main.Path
		build["version"] = info.Main.Version
	}
	return json.NewEncoder(out).Encode(build)
}

// Codes prints the table of result codes.
type Codes struct{}

// Run implements the subcommand.
func (c *Codes) Run(out io.Writer) error {
	_, err := io.WriteString(out, result.Markdown())
	return err
}

// ExitStatus returns the exit status for an error.
func ExitStatus(err error) int {
	switch code := result.CodeOf(err); {
	case code == result.OK:
		return ExitOK
	case code == result.BadSetting:
		return ExitSettings
	case code == result.NotFound:
		return ExitNotFound
	case code >= result.FileUnreadable && code <= result.TooManyFiles:
		return ExitRefused
	default:
		return ExitFailed
	}
}
