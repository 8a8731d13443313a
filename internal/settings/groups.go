package settings

import (
	"log/slog"
	"net/url"
)

// Platform holds the base URLs of the platform's services, without a slash at
// the end.
type Platform struct {
	tables  *url.URL
	objects *url.URL
	origin  *url.URL
	members *url.URL
}

// TablesURL returns the address of the table service.
func (p Platform) TablesURL() string { return text(p.tables) }

// ObjectsURL returns the address of the object store.
func (p Platform) ObjectsURL() string { return text(p.objects) }

// OriginURL returns the address of the origin of weights.
func (p Platform) OriginURL() string { return text(p.origin) }

// MembersURL returns the address of the membership list.
func (p Platform) MembersURL() string { return text(p.members) }

// Budgets holds rates in bytes a second.
type Budgets struct {
	upload     int64
	regionLink int64
	origin     int64
	control    int64
}

// UploadBytesPerSecond returns the rate of sending chunks to peers.
func (b Budgets) UploadBytesPerSecond() int64 { return b.upload }

// RegionLinkBytesPerSecond returns the rate of this process's transfers from
// other regions.
func (b Budgets) RegionLinkBytesPerSecond() int64 { return b.regionLink }

// OriginBytesPerSecond returns the rate of this process's reads of the origin.
func (b Budgets) OriginBytesPerSecond() int64 { return b.origin }

// ControlBytesPerSecond returns the rate of all control traffic.
func (b Budgets) ControlBytesPerSecond() int64 { return b.control }

// Exporter names where spans go.
type Exporter string

// The exporters of spans.
const (
	ExporterNone   Exporter = "none"
	ExporterStdout Exporter = "stdout"
	ExporterFile   Exporter = "file"
	ExporterOTLP   Exporter = "otlp"
)

// Trace tells where spans go.
type Trace struct {
	exporter Exporter
	file     string
	endpoint *url.URL
}

// Exporter returns where spans go.
func (t Trace) Exporter() Exporter { return t.exporter }

// File returns the file of ExporterFile.
func (t Trace) File() string { return t.file }

// Endpoint returns the URL of the collector of ExporterOTLP.
func (t Trace) Endpoint() string { return text(t.endpoint) }

// Log holds the settings of the log.
type Log struct {
	level slog.Level
}

// Level returns the least level that is written.
func (l Log) Level() slog.Level { return l.level }

// TLS names the files for TLS between processes and towards callers.
type TLS struct {
	certFile string
	keyFile  string
	caFile   string
}

// CertFile returns the certificate chain of the process in PEM.
func (t TLS) CertFile() string { return t.certFile }

// KeyFile returns the private key of the process in PEM.
func (t TLS) KeyFile() string { return t.keyFile }

// CAFile returns the authorities that peers' certificates are checked against.
func (t TLS) CAFile() string { return t.caFile }

// Enabled reports whether listeners use TLS.
func (t TLS) Enabled() bool { return t.certFile != "" }

// Tokens holds secrets. Its text form hides them, so that they don't get into
// logs.
type Tokens struct {
	node     string
	platform string
}

// Node returns the token that the system's own processes show each other.
func (t Tokens) Node() string { return t.node }

// Platform returns the token shown to the platform's services.
func (t Tokens) Platform() string { return t.platform }

// String implements fmt.Stringer without the secrets.
func (t Tokens) String() string { return "tokens(hidden)" }

// GoString implements fmt.GoStringer without the secrets.
func (t Tokens) GoString() string { return t.String() }

// LogValue implements slog.LogValuer without the secrets.
func (t Tokens) LogValue() slog.Value { return slog.StringValue(t.String()) }
