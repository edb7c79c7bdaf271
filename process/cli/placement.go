package cli

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/waxwingpost/waxwingpost/connection/wire"
	"github.com/waxwingpost/waxwingpost/platform"
	"github.com/waxwingpost/waxwingpost/request/forward"
)

// Placement prints where a request would go now, and why, without sending it.
type Placement struct {
	Address   string        `help:"IP:PORT of the metrics of an entry." required:"" env:"WAXWINGPOST_ADDRESS"`
	Host      string        `help:"Host of the request." required:""`
	Path      string        `help:"Path of the request." required:""`
	Account   string        `help:"Name of the client account."`
	Key       string        `help:"API key, instead of the account. It is never printed." env:"WAXWINGPOST_KEY"`
	Model     string        `help:"Model of a generation request."`
	Prompt    int           `help:"Prompt tokens."`
	MaxOutput int           `help:"Maximum of output tokens."`
	Output    int           `help:"Expected output tokens."`
	Parts     []string      `help:"IDs of the shared parts of the prompt."`
	Deadline  time.Duration `help:"How long the caller waits; the timeout of the route by default."`
	JSON      bool          `name:"json" help:"Print JSON."`
}

// Run implements the subcommand.
func (p *Placement) Run(out io.Writer) error {
	req, err := http.NewRequest(http.MethodGet, (&url.URL{Scheme: "http", Host: p.Address, Path: wire.PathPlacement, RawQuery: p.query().Encode()}).String(), nil)
	if err != nil {
		return err
	}
	if p.Key != "" {
		req.Header.Set(platform.HeaderAuthorization, "Bearer "+p.Key)
	}
	resp, err := newClient().Do(req)
	if err != nil {
		return errors.Wrap(err, "query the entry")
	}
	defer func() { _ = resp.Body.Close() }()
	if p.JSON {
		return copyResponse(out, resp)
	}
	var body bytes.Buffer
	if err := copyResponse(&body, resp); err != nil {
		return err
	}
	var answer forward.PlacementAnswer
	if err := json.Unmarshal(body.Bytes(), &answer); err != nil {
		return errors.Wrap(err, "decode the entry's answer")
	}
	return printPlacement(out, answer)
}

func (p *Placement) query() url.Values {
	values := url.Values{wire.PlacementHost: {p.Host}, wire.PlacementPath: {p.Path}}
	set := func(name, value string) {
		if value != "" && value != "0" && value != "0s" {
			values.Set(name, value)
		}
	}
	set(wire.PlacementAccount, p.Account)
	set(wire.PlacementModel, p.Model)
	set(wire.PlacementPrompt, strconv.Itoa(p.Prompt))
	set(wire.PlacementMaxOutput, strconv.Itoa(p.MaxOutput))
	set(wire.PlacementOutput, strconv.Itoa(p.Output))
	set(wire.PlacementParts, strings.Join(p.Parts, ","))
	set(wire.PlacementDeadline, p.Deadline.String())
	return values
}

// printPlacement prints an answer for people.
func printPlacement(out io.Writer, a forward.PlacementAnswer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	line := func(format string, args ...any) { _, _ = fmt.Fprintf(w, format+"\n", args...) } // Flush returns the error
	line("route\t%s", orNone(a.Route))
	line("account\t%s", orNone(a.Account))
	if a.Status != 0 {
		line("outcome\trefused: %d %s, code %d, %s", a.Status, http.StatusText(a.Status), a.Code, a.Reason)
	}
	for _, s := range a.Services {
		line("service\t%s (weight %g)", s.Service, s.Weight)
		if s.Regions != nil {
			line("regions\t%s", orNone(strings.Join(s.Regions, ", ")))
		}
		line("outcome\t%s", outcomeText(s))
		line("rank\tserver\tzone\tregion\tin use\tpace\twhy not")
		for _, server := range s.Servers {
			rank := "-"
			if server.Rank > 0 {
				rank = strconv.Itoa(server.Rank)
			}
			line("%s\t%s\t%s\t%s\t%d of %d\t%.2f\t%s", rank, server.ID, server.Zone, orNone(server.Region), server.InFlight, server.Slots, server.Pace, strings.Join(server.Reasons, ", "))
		}
	}
	return w.Flush()
}

func outcomeText(s forward.ServicePlacement) string {
	switch s.Outcome {
	case forward.OutcomeSent:
		return "sent to " + s.Server
	case forward.OutcomeQueued:
		return fmt.Sprintf("queued, about %d ms of at most %d ms", s.WaitMs, s.MaxWaitMs)
	default:
		return fmt.Sprintf("refused: %d %s, code %d, Retry-After %.2f s", s.Status, http.StatusText(s.Status), s.Code, float64(s.RetryAfterMs)/1000)
	}
}

func orNone(text string) string {
	if text == "" {
		return "-"
	}
	return text
}
