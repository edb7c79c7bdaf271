package runner

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	kithttp "github.com/go-kit/kit/transport/http"

	"github.com/waxwingpost/waxwingpost/process/result"
	"github.com/waxwingpost/waxwingpost/request/atmostonce"
	"github.com/waxwingpost/waxwingpost/request/stream"
)

// maxQueryWait limits how long a query waits for a running attempt.
const maxQueryWait = 10 * time.Second

func (r *Runner) newQueryServer() http.Handler {
	return kithttp.NewServer(r.serveQuery, decodeQuery, encodeReply, kithttp.ServerErrorEncoder(r.encodeError))
}

func decodeQuery(_ context.Context, req *http.Request) (any, error) {
	body, err := io.ReadAll(io.LimitReader(req.Body, atmostonce.MaxQueryBytes))
	if err != nil {
		return nil, result.New(result.BadMessage, "read query: %v", err)
	}
	var q atmostonce.Query
	if err := cbor.Unmarshal(body, &q); err != nil {
		return nil, result.New(result.BadMessage, "decode query: %v", err)
	}
	return &q, nil
}

// serveQuery is the endpoint for queries about attempts. It creates tombstones
// on request.
func (r *Runner) serveQuery(ctx context.Context, request any) (any, error) {
	q := request.(*atmostonce.Query)
	if q.Incarnation != r.cfg.Agent.Incarnation {
		return nil, result.New(result.WrongIncarnation, "this is incarnation %s of %s", r.cfg.Agent.Incarnation, r.cfg.Agent.Name)
	}
	if q.Tombstone {
		if _, err := r.table.Tombstone(q.ID); err != nil {
			return nil, err
		}
	}
	reply, done := r.table.Lookup(q.ID)
	if done == nil || q.WaitMs <= 0 {
		return &reply, nil
	}
	select {
	case <-done:
		reply, _ = r.table.Lookup(q.ID)
	case <-ctx.Done():
	case <-r.deps.Clock.After(min(time.Duration(q.WaitMs)*time.Millisecond, maxQueryWait)):
	}
	return &reply, nil
}

func encodeReply(_ context.Context, w http.ResponseWriter, response any) error {
	body, err := cbor.Marshal(response.(*atmostonce.Reply))
	if err != nil {
		return err
	}
	w.Header().Set("Content-Type", "application/cbor")
	_, err = w.Write(body)
	return err
}

func isReadError(err error) bool {
	var e *stream.ReadError
	return errors.As(err, &e)
}
