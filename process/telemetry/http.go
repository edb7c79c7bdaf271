package telemetry

import (
	"encoding/json"
	"net/http"
	"net/http/pprof"

	"github.com/waxwingpost/waxwingpost/connection/wire"
	"github.com/waxwingpost/waxwingpost/process/result"
)

// QueryParameter is the URL parameter with the query of an explain request.
const QueryParameter = "q"

// AddHealth registers the liveness and readiness handlers. Readiness is 200 if
// check returns nil, else 503 with the reason.
func AddHealth(mux *http.ServeMux, check func() error) {
	mux.HandleFunc(wire.PathHealth, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("ok\n"))
	})
	mux.HandleFunc(wire.PathReady, func(w http.ResponseWriter, _ *http.Request) {
		if err := check(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write([]byte("ready\n"))
	})
}

// ExplainHandler serves explain requests and responds with JSON.
func ExplainHandler(explain func(query string) (any, error)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		record, err := explain(r.URL.Query().Get(QueryParameter))
		if err != nil {
			http.Error(w, err.Error(), explainStatus(err))
			return
		}
		w.Header().Set("Content-Type", "application/json")
		enc := json.NewEncoder(w)
		enc.SetIndent("", "  ")
		_ = enc.Encode(record)
	})
}

func explainStatus(err error) int {
	if result.CodeOf(err) == result.NotFound {
		return http.StatusNotFound
	}
	return http.StatusBadRequest
}

// ProfileHandler serves the profiles of the Go runtime under PathProfiles. Taking a CPU
// profile costs a few percent of a core.
func ProfileHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(wire.PathProfiles, pprof.Index)
	mux.HandleFunc(wire.PathProfiles+"profile", pprof.Profile)
	return mux
}
