// Command wpfake runs a fake model engine, plain service or weight origin as a
// process, for the demo, wpbench and process tests.
package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"github.com/waxwingpost/waxwingpost/bench/fakes"
)

const headerTimeout = 10 * time.Second

type engineCmd struct {
	Listen         string        `required:"" help:"IP and port to listen on."`
	Slots          int           `default:"8" help:"Requests answered at once."`
	TokenTime      time.Duration `default:"5ms" help:"Time of one token."`
	PrefillTime    time.Duration `default:"5ms" help:"Time of a prompt whose prefix is not cached."`
	PrefixEntries  int           `default:"64" help:"Size of the prefix cache."`
	ReportLag      time.Duration `default:"50ms" help:"Age of a report."`
	LoadTime       time.Duration `default:"200ms" help:"Duration of a load."`
	FencingIgnored bool          `help:"Accept orders with stale fences."`
	Seed           uint64        `default:"1" help:"Seed of the random numbers."`
}

// Run serves until the process receives SIGINT or SIGTERM.
func (c *engineCmd) Run() error {
	return serve(c.Listen, fakes.NewEngine(fakes.EngineConfig{
		Slots:          c.Slots,
		TokenTime:      c.TokenTime,
		PrefillTime:    c.PrefillTime,
		PrefixEntries:  c.PrefixEntries,
		ReportLag:      c.ReportLag,
		LoadTime:       c.LoadTime,
		FencingIgnored: c.FencingIgnored,
		Seed:           c.Seed,
	}))
}

type plainCmd struct {
	Listen      string        `required:"" help:"IP and port to listen on."`
	Delay       time.Duration `default:"2ms" help:"Time of a call."`
	AnswerBytes int           `default:"0" help:"Minimum size of an answer in bytes."`
}

// Run serves until the process receives SIGINT or SIGTERM.
func (c *plainCmd) Run() error {
	return serve(c.Listen, fakes.NewPlain(fakes.PlainConfig{Delay: c.Delay, AnswerBytes: c.AnswerBytes}))
}

type originCmd struct {
	Listen         string         `required:"" help:"IP and port to listen on."`
	Version        map[string]int `required:"" help:"Path and size in bytes of each version: PATH=BYTES."`
	ChunkBytes     int            `default:"262144" help:"Size of a chunk."`
	BytesPerSecond int            `default:"0" help:"Rate limit; 0 means none."`
	MaxActive      int            `default:"0" help:"Maximum number of concurrent content requests; 0 means unlimited."`
	Seed           uint64         `default:"1" help:"Seed of the random numbers."`
}

// Run serves until the process receives SIGINT or SIGTERM.
func (c *originCmd) Run() error {
	return serve(c.Listen, fakes.NewOrigin(fakes.OriginConfig{
		Versions:       c.Version,
		ChunkBytes:     c.ChunkBytes,
		BytesPerSecond: c.BytesPerSecond,
		MaxActive:      c.MaxActive,
		Seed:           c.Seed,
	}))
}

func serve(address string, h http.Handler) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
	done := make(chan error, 1)
	go func() { done <- server.Serve(listener) }()
	fmt.Fprintln(os.Stderr, "listening on", listener.Addr())
	select {
	case <-ctx.Done():
		return server.Close()
	case err := <-done:
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return err
	}
}

func main() {
	var cli struct {
		Engine engineCmd `cmd:"" help:"A model engine."`
		Plain  plainCmd  `cmd:"" help:"A plain service."`
		Origin originCmd `cmd:"" help:"A weight source."`
	}
	k := kong.Parse(&cli, kong.Name("wpfake"), kong.Description("Runs a fake of a server that the system uses."))
	k.FatalIfErrorf(k.Run())
}
