package main

import (
	"context"
	"net/http"
	"time"
)

const (
	contact  = 3 * time.Second // contactMs
	ackBound = 4 * time.Second // ackMs
)

// firstStart kills the control process of one seed a quarter of a second after the first start
// of the whole system, and starts it again a second later. The operator sends the first
// configuration until it is acknowledged.
func firstStart(rec *record, bin string, trouble bool) verdict {
	w, err := newWorld(rec, bin, 5, 2)
	if err != nil {
		rec.line("%v", err)
		return couldNotRun
	}
	defer w.close()
	server := w.newEngine(1, "booth", 6)
	server.answer = func(_ *engine, i *incarnation, rw http.ResponseWriter, r *http.Request, _ []byte) {
		rec.line("server %s runs %s", i.id, r.Header.Get("Request-Id"))
		rw.Header().Set("Signature", "s."+i.id)
		_, _ = rw.Write([]byte("answer"))
	}
	if err := server.start(); err != nil {
		rec.line("%v", err)
		return couldNotRun
	}
	// All machines start within 0.3 s of each other; the last one is a seed.
	order := []*machine{w.control[0], w.control[1], w.control[3], w.control[4], w.entry[0], w.entry[1], w.control[2]}
	begun := time.Now()
	stable := begun
	restarted := make(chan struct{})
	if trouble {
		go func() {
			defer close(restarted)
			time.Sleep(time.Until(begun.Add(250 * time.Millisecond)))
			w.control[0].kill()
			time.Sleep(time.Second)
			_ = w.control[0].start(false)
			stable = time.Now()
		}()
	} else {
		close(restarted)
	}
	for n, m := range order {
		time.Sleep(time.Until(begun.Add(time.Duration(n) * 48 * time.Millisecond)))
		if err := m.start(true); err != nil {
			rec.line("%v", err)
			return couldNotRun
		}
	}
	<-restarted
	// From here on nothing is disrupted.
	time.Sleep(time.Until(stable.Add(contact)))
	rec.line("all machines run, undisturbed for %v", contact)
	sent := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), 25*time.Second)
	defer cancel()
	calls, ok := w.order(ctx, "configuration 1", "/-/Config.Put", config(1,
		[]map[string]any{route("r-1", "/status/", "safe", "booth", 2500, 150)}, []map[string]any{plainService("booth")}))
	took := time.Since(sent)
	if !ok {
		rec.line("configuration 1 is not acknowledged after %v and %d calls; ackMs is %v", took.Round(time.Millisecond), calls, ackBound)
		a := ask(context.Background(), w.front(0), request{method: http.MethodGet, path: "/status/1", deadline: 2500 * time.Millisecond})
		rec.line("client: %s answered %d", a.id, a.status)
		return broken
	}
	rec.line("configuration 1 is acknowledged after %v and %d calls", took.Round(time.Millisecond), calls)
	served := false
	for range 20 {
		a := ask(context.Background(), w.front(0), request{method: http.MethodGet, path: "/status/1", deadline: 2500 * time.Millisecond})
		rec.line("client: %s answered %d", a.id, a.status)
		if served = a.status == http.StatusOK; served {
			break
		}
		time.Sleep(500 * time.Millisecond)
	}
	if took > ackBound {
		return broken
	}
	if !served {
		return couldNotRun
	}
	return held
}
