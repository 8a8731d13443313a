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

// goodEntry and goodAgent are the texts that the rows of TestFaults spoil at
// one place.
const (
	goodEntry = `name = "entry-1"
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
	goodAgent = `name = "writers-1"
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
		{"syntax", goodEntry, `role = "entry"`, "role = entry", "", "syntax"},
		{"table not closed", goodEntry, "[log]", "[log", "", "syntax"},
		{"key set twice", goodEntry, `role = "entry"`, "role = \"entry\"\nrole = \"entry\"", "role", "defined already in line 2"},
		{"table set twice", goodEntry, "[log]", "[trace]", "trace", "defined already"},
		{"unknown key", goodEntry, `region = "riga"`, "region = \"riga\"\nzone = \"a\"", "zone", "unknown key"},
		{"unknown table", goodEntry, "[log]", "[logs]", "logs", "unknown key"},
		{"unknown key in a table", goodEntry, "level =", "levle =", "log.levle", "unknown key"},
		{"no name", goodEntry, `name = "entry-1"`, "", "name", "is required"},
		{"name with spaces", goodEntry, `"entry-1"`, `"entry 1"`, "name", "does not match"},
		{"name not a string", goodEntry, `"entry-1"`, "1", "name", "must be of the kind string"},
		{"no role", goodEntry, `role = "entry"`, "", "role", "is required"},
		{"unknown role", goodEntry, `role = "entry"`, `role = "gateway"`, "role", "not one of entry, agent"},
		{"no listen", goodEntry, `listen = "10.0.0.1:7001"`, "", "listen", "is required"},
		{"host name", goodEntry, "10.0.0.1:7001", "localhost:7001", "listen", "not an IP number with a port"},
		{"no port", goodEntry, "10.0.0.1:7001", "10.0.0.1", "listen", "not an IP number with a port"},
		{"port out of range", goodEntry, "10.0.0.1:7001", "10.0.0.1:70001", "listen", "not an IP number with a port"},
		{"port 0", goodEntry, "10.0.0.1:7001", "10.0.0.1:0", "advertise", "port that is not 0"},
		{"address as a number", goodEntry, `"10.0.0.1:7001"`, "7001", "listen", "must be of the kind address"},
		{"entry without callerListen", goodEntry, `callerListen = "127.0.0.1:8001"`, "", "callerListen", "is required"},
		{"the same address twice", goodEntry, "127.0.0.1:8001", "10.0.0.1:7001", "callerListen", "must differ"},
		{"plain listener outside of loopback", strings.Replace(goodEntry, "127.0.0.1:8001", "10.0.0.1:8001", 1), "certFile = \"entry.pem\"\nkeyFile = \"entry.key\"", "", "callerListen", "needs [tls]"},
		{"no region", goodEntry, `region = "riga"`, "", "region", "is required"},
		{"no failure domain", goodEntry, `failureDomain = "riga-a"`, "", "failureDomain", "is required"},
		{"entry with a service", goodEntry, `region = "riga"`, "region = \"riga\"\nservice = \"writers\"", "service", "is only for"},
		{"entry with an engine", goodEntry, `region = "riga"`, "region = \"riga\"\nengineUrl = \"http://127.0.0.1:1\"", "engineUrl", "is only for"},
		{"agent without a service", goodAgent, `service = "writers"`, "", "service", "is required"},
		{"agent without an engine", goodAgent, `engineUrl = "http://127.0.0.1:8101"`, "", "engineUrl", "is required"},
		{"agent with callerListen", goodAgent, `region = "riga"`, "region = \"riga\"\ncallerListen = \"127.0.0.1:1\"", "callerListen", "is only for"},
		{"advertise missing", goodAgent, `advertise = "10.0.0.2:7101"`, "", "advertise", "stands for every address"},
		{"advertise every address", goodAgent, "10.0.0.2:7101", "0.0.0.0:7101", "advertise", "single address"},
		{"no platform", goodAgent, "[platform]", "[trace]", "platform.tablesUrl", "is required"},
		{"platform not a table", strings.Split(goodAgent, "[platform]")[0] + "platform = 1\n", `region = "riga"`, `region = "riga"`, "platform", "must be a table"},
		{"URL with a host name", goodAgent, "http://10.0.0.9:9001", "http://tables:9001", "platform.tablesUrl", "by IP number and port"},
		{"URL without a port", goodAgent, "http://10.0.0.9:9001", "http://10.0.0.9", "platform.tablesUrl", "by IP number and port"},
		{"URL of another scheme", goodAgent, "http://10.0.0.9:9001", "ftp://10.0.0.9:9001", "platform.tablesUrl", "plain http or https"},
		{"URL with a password", goodAgent, "http://10.0.0.9:9001", "http://u:p@10.0.0.9:9001", "platform.tablesUrl", "plain http or https"},
		{"budget out of range", goodEntry, "100_000_000", "10", "budgets.uploadBytesPerSecond", "out of range"},
		{"budget as a string", goodEntry, "100_000_000", `"100MB"`, "budgets.uploadBytesPerSecond", "must be of the kind integer"},
		{"unknown exporter", goodEntry, `exporter = "file"`, `exporter = "files"`, "trace.exporter", "not one of none"},
		{"trace file missing", goodEntry, `file = "spans.json"`, "", "trace.file", "is required"},
		{"trace file without use", goodEntry, `exporter = "file"`, `exporter = "none"`, "trace.file", "is only for"},
		{"endpoint missing", goodEntry, "exporter = \"file\"\nfile = \"spans.json\"", `exporter = "otlp"`, "trace.endpoint", "is required"},
		{"unknown level", goodEntry, `"warn"`, `"warning"`, "log.level", "not one of debug"},
		{"certificate without key", goodEntry, `keyFile = "entry.key"`, "", "tls.keyFile", "is required"},
		{"key without certificate", goodEntry, `certFile = "entry.pem"`, "", "tls.keyFile", "is only for"},
		{"file too long", goodEntry, `name = "entry-1"`, strings.Repeat("#", settings.MaxBytes), "", "at most 65536"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			require.Equal(t, 1, strings.Count(tt.text, tt.old), "the text to replace must be there once")
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
	require.Fail(t, "no such fault", "%s: %s in\n%v", key, reason, err)
}

func TestEveryFaultAtOnce(t *testing.T) {
	text := strings.NewReplacer("10.0.0.1:7001", "localhost:7001", "level =", "levle =", `region = "riga"`, "").Replace(goodEntry)
	_, err := settings.Parse("bad.toml", []byte(text))
	require.EqualError(t, err, strings.Join([]string{
		`bad.toml:1: region: is required`,
		`bad.toml:3: listen: "localhost:7001" is not an IP number with a port`,
		`bad.toml:22: log.levle: unknown key`,
	}, "\n"))
}

func TestAccessors(t *testing.T) {
	entry, err := settings.Parse("entry.toml", []byte(goodEntry))
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
	agent, err := settings.Parse("agent.toml", []byte(goodAgent))
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
	for _, text := range []string{"", goodEntry, goodAgent, "[platform]\nplatform.tablesUrl = 1", "listen = \"[::]:0\""} {
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
