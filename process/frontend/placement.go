package frontend

import (
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/waxwingpost/waxwingpost/connection/wire"
	"github.com/waxwingpost/waxwingpost/platform"
	"github.com/waxwingpost/waxwingpost/process/result"
	"github.com/waxwingpost/waxwingpost/request/forward"
)

// maxExplainedParts bounds the parts of a prompt in a query.
const maxExplainedParts = 16

// explainPlacement answers where a request would go now. The key of the query is in the
// Authorization header, so that it is in no URL.
func (f *Frontend) explainPlacement(w http.ResponseWriter, r *http.Request) {
	q, err := placementQuery(r.URL.Query())
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	q.Key = platform.BearerToken(r.Header.Get(platform.HeaderAuthorization))
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(f.handler.ExplainPlacement(q)) // the operator may be gone
}

// placementQuery decodes the parameters of a query. All errors are reported at once.
func placementQuery(values url.Values) (forward.PlacementQuery, error) {
	q := forward.PlacementQuery{Host: values.Get(wire.PlacementHost), Path: values.Get(wire.PlacementPath), Account: values.Get(wire.PlacementAccount)}
	q.Tokens.Model = values.Get(wire.PlacementModel)
	var errs []error
	if q.Host == "" || !strings.HasPrefix(q.Path, "/") {
		errs = append(errs, errors.New("a host and a path that begins with a slash are required"))
	}
	q.Tokens.Prompt = tokenCount(values, wire.PlacementPrompt, &errs)
	q.Tokens.MaxOutput = tokenCount(values, wire.PlacementMaxOutput, &errs)
	q.Tokens.Expected = tokenCount(values, wire.PlacementOutput, &errs)
	if text := values.Get(wire.PlacementDeadline); text != "" {
		d, err := time.ParseDuration(text)
		if err != nil || d <= 0 {
			errs = append(errs, errors.Newf("%s=%q is not a positive duration", wire.PlacementDeadline, text))
		}
		q.Deadline = d
	}
	if text := values.Get(wire.PlacementParts); text != "" {
		q.Parts = strings.SplitN(text, ",", maxExplainedParts+1)
		if len(q.Parts) > maxExplainedParts {
			errs = append(errs, errors.Newf("more than %d parts", maxExplainedParts))
		}
	}
	if err := errors.Join(errs...); err != nil {
		return q, result.New(result.BadRequest, "%v", err)
	}
	return q, nil
}

// tokenCount returns a number of tokens, 0 if the parameter is missing. It appends an error to errs
// if it is not a number.
func tokenCount(values url.Values, name string, errs *[]error) int {
	text := values.Get(name)
	if text == "" {
		return 0
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 0 {
		*errs = append(*errs, errors.Newf("%s=%q is not a number of tokens", name, text))
		return 0
	}
	return n
}
