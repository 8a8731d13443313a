package soak

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/primrosetally/primrosetally/internal/logbook"
	"github.com/primrosetally/primrosetally/platform"
)

const (
	// missingMetric is the metric of the requests whose end an entry does not know.
	missingMetric = "primrosetally_requests_missing"
	// metricsTimeout is that of a request for the metrics of a process.
	metricsTimeout = 2 * time.Second
)

// checkRequests finds requests that ended at an entry without an answer, a refusal or a stated
// cause: by the metrics of those that run, and by the lines of those that have stopped.
func (r *run) checkRequests(ctx context.Context) {
	for _, m := range r.machines {
		if m.role != "entry" {
			continue
		}
		n, err := m.missingRequests(ctx)
		if err != nil {
			r.note("no metrics of %s: %v", m.Name, err)
		}
		if n != 0 {
			r.ledger.violate("requests: %d of %s ended without an answer, a refusal or a cause", n, m.Name)
		}
	}
	files, _ := filepath.Glob(filepath.Join(r.logs, "*.log")) // fails only for a malformed pattern
	summary, err := logbook.Summarise(files, nil)
	if err != nil {
		r.note("logs are not read: %v", err)
		return
	}
	if n := summary.Missing(); n != 0 {
		r.ledger.violate("requests: %d ended without an answer, a refusal or a cause, by the logs of stopped entries", n)
	}
}

// missingRequests reads the metric of a running process.
func (m *machine) missingRequests(ctx context.Context) (int, error) {
	address, err := m.metricsAddress()
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, metricsTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/metrics", nil)
	if err != nil {
		return 0, eris.Wrap(err, "metrics")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, eris.Wrap(err, "metrics")
	}
	defer response.Body.Close()
	return parseMissing(response.Body)
}

// metricsAddress returns the address at which the process serves its metrics.
func (m *machine) metricsAddress() (string, error) {
	text, err := os.ReadFile(filepath.Join(m.run.logs, m.Name+".conf"))
	if err != nil {
		return "", eris.Wrap(err, "metrics")
	}
	settings, err := platform.ParseSettings(string(text))
	if err != nil {
		return "", err
	}
	_, port, err := net.SplitHostPort(settings.MetricsAddress())
	if err != nil {
		return "", eris.Wrap(err, "metrics")
	}
	return net.JoinHostPort(m.listenIP(), port), nil
}

// parseMissing reads the metric from a text of metrics.
func parseMissing(text io.Reader) (int, error) {
	lines := bufio.NewScanner(text)
	for lines.Scan() {
		if value, found := strings.CutPrefix(lines.Text(), missingMetric+" "); found {
			n, err := strconv.Atoi(value)
			return n, eris.Wrap(err, missingMetric)
		}
	}
	return 0, eris.Errorf("no metric %s", missingMetric)
}
