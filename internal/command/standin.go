package command

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/integrii/flaggy"

	"github.com/primrosetally/primrosetally/internal/standin"
)

// standinHeaderTimeout bounds the reading of a request's header.
const standinHeaderTimeout = 10 * time.Second

func standinCommand() *command {
	var kind, listen string
	var seed uint64 = 1
	return &command{
		name:        "standin",
		description: "Run a stand-in of the platform: tables, objects, origin, members, engine or plain.",
		flags: func(sub *flaggy.Subcommand) {
			sub.AddPositionalValue(&kind, "KIND", 1, true, "tables, objects, origin, members, engine or plain")
			sub.String(&listen, "l", "listen", "address to listen on")
			sub.UInt64(&seed, "", "seed", "seed of random faults")
		},
		run: func(ctx context.Context, e env) int {
			h, ok := standinHandler(kind, seed)
			if !ok {
				return e.fail(statusUsage, fmt.Errorf("unknown stand-in %q", kind))
			}
			l, err := net.Listen("tcp", listen)
			if err != nil {
				return e.fail(statusUsage, err)
			}
			fmt.Fprintln(e.stdout, l.Addr())
			server := &http.Server{Handler: h, ReadHeaderTimeout: standinHeaderTimeout}
			go func() {
				<-ctx.Done()
				_ = server.Close()
			}()
			if err := server.Serve(l); err != http.ErrServerClosed {
				return e.fail(statusFailed, err)
			}
			return statusOK
		},
	}
}

func standinHandler(kind string, seed uint64) (http.Handler, bool) {
	switch kind {
	case "tables":
		return standin.NewTables(), true
	case "objects", "origin":
		return standin.NewObjects(standin.WithSeed(seed)), true
	case "members":
		return standin.NewMembers(), true
	case "engine":
		return standin.NewEngine(standin.WithEngineSeed(seed)), true
	case "plain":
		return standin.NewPlain(), true
	default:
		return nil, false
	}
}
