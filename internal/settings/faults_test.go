package settings_test

import (
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/primrosetally/primrosetally/internal/settings"
)

// validEntry and validAgent are valid settings, in which each case of TestFaults
// replaces one part.
const (
	validEntry = `name = "entry-1"
role = "entry"
listen = "10.0.0.1:7001"
callerListen = "127.0.0.1:8001"
region = "riga"
failureDomain = "riga-a"

[platform]
tablesUrl = "http://10.0.0.9:9001"
objectsUrl = "http://10.0.0.9:9002"
originUrl = "https://10.0.0.9:9003/weights/"
membersUrl = "http://[fd00::9]:9004"

[budgets]
uploadBytesPerSecond = 100_000_000

[trace]
exporter = "file"
file = "spans.json"

[log]
level = "warn"

[tls]
certFile = "entry.pem"
keyFile = "entry.key"

[tokens]
node = "secret-of-nodes"
`
	validAgent = `name = "writers-1"
role = "agent"
listen = "0.0.0.0:7101"
advertise = "10.0.0.2:7101"
region = "riga"
failureDomain = "riga-a"
service = "writers"
engineUrl = "http://127.0.0.1:8101"

[platform]
tablesUrl = "http://10.0.0.9:9001"
objectsUrl = "http://10.0.0.9:9002"
originUrl = "http://10.0.0.9:9003"
membersUrl = "http://10.0.0.9:9004"
`
)

func TestFaults(t *testing.T) {
	tests := []struct {
		name   string
		text   string
		old    string
		new    string
		key    string
		reason string
	}{
		{"syntax", validEntry, `role = "entry"`, "role = entry", "", "syntax"},
		{"unclosed table header", validEntry, "[log]", "[log", "", "syntax"},
		{"key set twice", validEntry, `role = "entry"`, "role = \"entry\"\nrole = \"entry\"", "role", "defined already in line 2"},
		{"table set twice", validEntry, "[log]", "[trace]", "trace", "defined already"},
		{"unknown key", validEntry, `region = "riga"`, "region = \"riga\"\nzone = \"a\"", "zone", "unknown key"},
		{"unknown table", validEntry, "[log]", "[logs]", "logs", "unknown key"},
		{"unknown key in a table", validEntry, "level =", "levle =", "log.levle", "unknown key"},
		{"no name", validEntry, `name = "entry-1"`, "", "name", "is required"},
		{"name with spaces", validEntry, `"entry-1"`, `"entry 1"`, "name", "does not match"},
		{"name not a string", validEntry, `"entry-1"`, "1", "name", "must be of the kind string"},
		{"no role", validEntry, `role = "entry"`, "", "role", "is required"},
		{"unknown role", validEntry, `role = "entry"`, `role = "gateway"`, "role", "not one of entry, agent"},
		{"no listen", validEntry, `listen = "10.0.0.1:7001"`, "", "listen", "is required"},
		{"host name", validEntry, "10.0.0.1:7001", "localhost:7001", "listen", "not an IP number with a port"},
		{"no port", validEntry, "10.0.0.1:7001", "10.0.0.1", "listen", "not an IP number with a port"},
		{"port out of range", validEntry, "10.0.0.1:7001", "10.0.0.1:70001", "listen", "not an IP number with a port"},
		{"port 0", validEntry, "10.0.0.1:7001", "10.0.0.1:0", "advertise", "must have a port other than 0"},
		{"address as a number", validEntry, `"10.0.0.1:7001"`, "7001", "listen", "must be of the kind address"},
		{"entry without callerListen", validEntry, `callerListen = "127.0.0.1:8001"`, "", "callerListen", "is required"},
		{"same address for both listeners", validEntry, "127.0.0.1:8001", "10.0.0.1:7001", "callerListen", "must differ"},
		{"listener without TLS outside of loopback", strings.Replace(validEntry, "127.0.0.1:8001", "10.0.0.1:8001", 1), "certFile = \"entry.pem\"\nkeyFile = \"entry.key\"", "", "callerListen", "needs [tls]"},
		{"no region", validEntry, `region = "riga"`, "", "region", "is required"},
		{"no failure domain", validEntry, `failureDomain = "riga-a"`, "", "failureDomain", "is required"},
		{"entry with a service", validEntry, `region = "riga"`, "region = \"riga\"\nservice = \"writers\"", "service", "is only allowed when"},
		{"entry with an engine", validEntry, `region = "riga"`, "region = \"riga\"\nengineUrl = \"http://127.0.0.1:1\"", "engineUrl", "is only allowed when"},
		{"agent without a service", validAgent, `service = "writers"`, "", "service", "is required"},
		{"agent without an engine", validAgent, `engineUrl = "http://127.0.0.1:8101"`, "", "engineUrl", "is required"},
		{"agent with callerListen", validAgent, `region = "riga"`, "region = \"riga\"\ncallerListen = \"127.0.0.1:1\"", "callerListen", "is only allowed when"},
		{"advertise missing", validAgent, `advertise = "10.0.0.2:7101"`, "", "advertise", "listen is the unspecified address"},
		{"advertise every address", validAgent, "10.0.0.2:7101", "0.0.0.0:7101", "advertise", "must not be the unspecified address"},
		{"no platform", validAgent, "[platform]", "[trace]", "platform.tablesUrl", "is required"},
		{"platform not a table", strings.Split(validAgent, "[platform]")[0] + "platform = 1\n", `region = "riga"`, `region = "riga"`, "platform", "must be a table"},
		{"URL with a host name", validAgent, "http://10.0.0.9:9001", "http://tables:9001", "platform.tablesUrl", "by IP number and port"},
		{"URL without a port", validAgent, "http://10.0.0.9:9001", "http://10.0.0.9", "platform.tablesUrl", "by IP number and port"},
		{"URL of another scheme", validAgent, "http://10.0.0.9:9001", "ftp://10.0.0.9:9001", "platform.tablesUrl", "plain http or https"},
		{"URL with a password", validAgent, "http://10.0.0.9:9001", "http://u:p@10.0.0.9:9001", "platform.tablesUrl", "plain http or https"},
		{"budget out of range", validEntry, "100_000_000", "10", "budgets.uploadBytesPerSecond", "out of range"},
		{"budget as a string", validEntry, "100_000_000", `"100MB"`, "budgets.uploadBytesPerSecond", "must be of the kind integer"},
		{"unknown exporter", validEntry, `exporter = "file"`, `exporter = "files"`, "trace.exporter", "not one of none"},
		{"trace file missing", validEntry, `file = "spans.json"`, "", "trace.file", "is required"},
		{"trace file without file exporter", validEntry, `exporter = "file"`, `exporter = "none"`, "trace.file", "is only allowed when"},
		{"endpoint missing", validEntry, "exporter = \"file\"\nfile = \"spans.json\"", `exporter = "otlp"`, "trace.endpoint", "is required"},
		{"unknown level", validEntry, `"warn"`, `"warning"`, "log.level", "not one of debug"},
		{"certificate without key", validEntry, `keyFile = "entry.key"`, "", "tls.keyFile", "is required"},
		{"key without certificate", validEntry, `certFile = "entry.pem"`, "", "tls.keyFile", "is only allowed when"},
		{"file too long", validEntry, `name = "entry-1"`, strings.Repeat("#", settings.MaxBytes), "", "at most 65536"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			require.Equal(t, 1, strings.Count(tt.text, tt.old), "the text to replace must occur exactly once")
			s, err := settings.Parse("bad.toml", []byte(strings.Replace(tt.text, tt.old, tt.new, 1)))
			require.Nil(t, s)
			requireFault(t, err, tt.key, tt.reason)
		})
	}
}

func requireFault(t *testing.T, err error, key, reason string) {
	t.Helper()
	require.ErrorIs(t, err, settings.ErrInvalid)
	var faults settings.Faults
	require.True(t, errors.As(err, &faults))
	for _, f := range faults {
		if f.Key() == key && strings.Contains(f.Reason(), reason) {
			require.Equal(t, "bad.toml", f.File())
			return
		}
	}
	require.Fail(t, "expected fault is missing", "%s: %s in\n%v", key, reason, err)
}

func TestAllFaultsReported(t *testing.T) {
	text := strings.NewReplacer("10.0.0.1:7001", "localhost:7001", "level =", "levle =", `region = "riga"`, "").Replace(validEntry)
	_, err := settings.Parse("bad.toml", []byte(text))
	require.EqualError(t, err, strings.Join([]string{
		`bad.toml:1: region: is required`,
		`bad.toml:3: listen: "localhost:7001" is not an IP number with a port`,
		`bad.toml:22: log.levle: unknown key`,
	}, "\n"))
}

func TestAccessors(t *testing.T) {
	entry, err := settings.Parse("entry.toml", []byte(validEntry))
	require.NoError(t, err)
	require.Equal(t, "entry-1", entry.Name())
	require.Equal(t, "10.0.0.1:7001", entry.Advertise().String())
	require.Equal(t, "127.0.0.1:8001", entry.CallerListen().String())
	require.Equal(t, "https://10.0.0.9:9003/weights", entry.Platform().OriginURL())
	require.Equal(t, "http://[fd00::9]:9004", entry.Platform().MembersURL())
	require.Equal(t, settings.ExporterFile, entry.Trace().Exporter())
	require.Equal(t, slog.LevelWarn, entry.Log().Level())
	require.True(t, entry.TLS().Enabled())
	require.Equal(t, "secret-of-nodes", entry.Tokens().Node())
	require.NotContains(t, fmt.Sprintf("%v %+v %#v", entry.Tokens(), entry.Tokens(), entry.Tokens()), "secret")
	require.NotContains(t, fmt.Sprintf("%v %+v %#v", entry, entry, entry), "secret")
	agent, err := settings.Parse("agent.toml", []byte(validAgent))
	require.NoError(t, err)
	require.Equal(t, "10.0.0.2:7101", agent.Advertise().String())
	require.Equal(t, "http://127.0.0.1:8101", agent.EngineURL())
	require.Empty(t, agent.CallerListen())
}

func TestLoadMissingFile(t *testing.T) {
	_, err := settings.Load(filepath.Join(t.TempDir(), "none.toml"))
	require.ErrorIs(t, err, os.ErrNotExist)
	require.NotErrorIs(t, err, settings.ErrInvalid)
}

func FuzzParse(f *testing.F) {
	for _, text := range []string{"", validEntry, validAgent, "[platform]\nplatform.tablesUrl = 1", "listen = \"[::]:0\""} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		s, err := settings.Parse("fuzz.toml", text)
		if err != nil {
			require.ErrorIs(t, err, settings.ErrInvalid)
			require.Nil(t, s)
			return
		}
		require.True(t, s.Advertise().IsValid())
		require.NotEmpty(t, s.Name())
	})
}
