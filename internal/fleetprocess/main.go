package fleetprocess

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"

	"github.com/primrosetally/primrosetally/internal/telemetry"
	"github.com/primrosetally/primrosetally/platform"
)

// Exit statuses.
const (
	statusOK     = 0
	statusFailed = 1
	statusUsage  = 2
)

// role is a function of the fleet that a process can run.
type role struct {
	name        string
	description string
	run         func(ctx context.Context, s *platform.Settings, logger *slog.Logger) error
}

func roles() []role {
	return []role{
		{"entry", "Serve callers' requests and address lookups.", RunEntry},
		{"agent", "Manage the weights of the endpoint on this machine.", RunAgent},
	}
}

// Main runs the role selected by the arguments until SIGTERM or SIGINT and returns the
// exit status: 1 if the process failed, 2 for an invalid command line or invalid
// settings.
func Main(arguments []string, stdout, stderr io.Writer) (status int) {
	parser := flaggy.NewParser("primrosetally-fleet")
	parser.Description = "Runs primrosetally on the users' platform."
	var file, listenIP string
	check := false
	parser.String(&file, "s", "settings", "settings file; the default is the path in an environment variable")
	parser.String(&listenIP, "", "listen-ip", "IP address to listen on, if it differs from the address used by other processes")
	parser.Bool(&check, "c", "check", "check the settings and exit")
	subcommands := make(map[*flaggy.Subcommand]role)
	for _, r := range roles() {
		sub := flaggy.NewSubcommand(r.name)
		sub.Description = r.description
		parser.AttachSubcommand(sub, 1)
		subcommands[sub] = r
	}
	flaggy.PanicInsteadOfExit = true
	defer func() {
		// flaggy exits for --help and for errors of the command line; with
		// PanicInsteadOfExit it panics instead.
		if recovered := recover(); recovered != nil {
			status = statusUsage
		}
	}()
	if err := parser.ParseArgs(arguments); err != nil {
		fmt.Fprintln(stderr, err)
		return statusUsage
	}
	r, found := subcommands[parser.TrailingSubcommand()]
	if !found {
		parser.ShowHelp()
		return statusUsage
	}
	if file == "" {
		file = os.Getenv(platform.SettingsVariable)
	}
	s, err := platform.LoadSettings(file, platform.WithListenIP(listenIP))
	if err != nil {
		fmt.Fprintln(stderr, err)
		return statusUsage
	}
	if check {
		fmt.Fprintln(stdout, "settings are valid")
		return statusOK
	}
	return runRole(r, s, file, stdout)
}

func runRole(r role, s *platform.Settings, file string, stdout io.Writer) int {
	logs, closeLogs := context.WithCancel(context.Background())
	lines := telemetry.NewBoundedWriter(logs, stdout, func(l *slog.Logger, n int64) {
		telemetry.LinesDropped.Log(logs, l, "process", s.Name(), "lines", n)
	})
	logger := slog.New(slog.NewJSONHandler(lines, nil))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	go reload(ctx, catchHangups(), file, logger)
	err := r.run(ctx, s, logger)
	if err != nil {
		telemetry.ProcessStopped.Log(ctx, logger, "error", err)
	}
	closeLogs()
	<-lines.Done()
	if err != nil {
		return statusFailed
	}
	return statusOK
}

// catchHangups returns a channel of the SIGHUPs that the process gets until its end. One that
// is not caught ends the process, also in the middle of a planned stop.
func catchHangups() <-chan os.Signal {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	return hangups
}

// reload reads and checks the settings again on SIGHUP. A running process keeps its
// addresses and limits: the platform restarts it to change them. It ignores a SIGHUP once it
// stops.
func reload(ctx context.Context, hangups <-chan os.Signal, file string, logger *slog.Logger) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		}
		if _, err := platform.LoadSettings(file); err != nil {
			telemetry.SettingsNotReloaded.Log(ctx, logger, "error", err)
			continue
		}
		telemetry.SettingsReloaded.Log(ctx, logger)
	}
}
