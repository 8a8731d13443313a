package settings

import (
	"log/slog"
	"net/url"
)

// Platform holds the base URLs of the platform's services, without a trailing slash.
type Platform struct {
	tables  *url.URL
	objects *url.URL
	origin  *url.URL
	members *url.URL
}

// TablesURL returns the address of the table service.
func (p Platform) TablesURL() string { return urlString(p.tables) }

// ObjectsURL returns the address of the object store.
func (p Platform) ObjectsURL() string { return urlString(p.objects) }

// OriginURL returns the address of the origin from which weights are downloaded.
func (p Platform) OriginURL() string { return urlString(p.origin) }

// MembersURL returns the address of the membership list.
func (p Platform) MembersURL() string { return urlString(p.members) }

// Budgets holds rate limits in bytes per second.
type Budgets struct {
	upload     int64
	regionLink int64
	origin     int64
	control    int64
}

// UploadBytesPerSecond returns the rate limit for sending chunks to peers.
func (b Budgets) UploadBytesPerSecond() int64 { return b.upload }

// RegionLinkBytesPerSecond returns the rate limit for this process's transfers from
// other regions.
func (b Budgets) RegionLinkBytesPerSecond() int64 { return b.regionLink }

// OriginBytesPerSecond returns the rate limit for this process's reads from the origin.
func (b Budgets) OriginBytesPerSecond() int64 { return b.origin }

// ControlBytesPerSecond returns the rate limit for all control traffic.
func (b Budgets) ControlBytesPerSecond() int64 { return b.control }

// Exporter is the kind of exporter to which spans are sent.
type Exporter string

// The span exporters.
const (
	ExporterNone   Exporter = "none"
	ExporterStdout Exporter = "stdout"
	ExporterFile   Exporter = "file"
	ExporterOTLP   Exporter = "otlp"
)

// Trace holds the settings of the span exporter.
type Trace struct {
	exporter Exporter
	file     string
	endpoint *url.URL
}

// Exporter returns the kind of exporter to which spans are sent.
func (t Trace) Exporter() Exporter { return t.exporter }

// File returns the file to which ExporterFile writes spans.
func (t Trace) File() string { return t.file }

// Endpoint returns the URL of the collector to which ExporterOTLP sends spans.
func (t Trace) Endpoint() string { return urlString(t.endpoint) }

// Log holds the settings of the log.
type Log struct {
	level slog.Level
}

// Level returns the minimum level of the records that are written.
func (l Log) Level() slog.Level { return l.level }

// TLS holds the names of the files for TLS between processes and with callers.
type TLS struct {
	certFile string
	keyFile  string
	caFile   string
}

// CertFile returns the name of the PEM file with the certificate chain of the process.
func (t TLS) CertFile() string { return t.certFile }

// KeyFile returns the name of the PEM file with the private key of the process.
func (t TLS) KeyFile() string { return t.keyFile }

// CAFile returns the name of the file with the certificate authorities that verify
// the certificates of peers.
func (t TLS) CAFile() string { return t.caFile }

// Enabled reports whether listeners use TLS.
func (t TLS) Enabled() bool { return t.certFile != "" }

// Tokens holds secrets. Its text form omits them, so that they don't appear in logs.
type Tokens struct {
	node     string
	platform string
}

// Node returns the token with which the system's processes authenticate to each other.
func (t Tokens) Node() string { return t.node }

// Platform returns the token that is sent to the platform's services.
func (t Tokens) Platform() string { return t.platform }

// String implements fmt.Stringer without the secrets.
func (t Tokens) String() string { return "tokens(hidden)" }

// GoString implements fmt.GoStringer without the secrets.
func (t Tokens) GoString() string { return t.String() }

// LogValue implements slog.LogValuer without the secrets.
func (t Tokens) LogValue() slog.Value { return slog.StringValue(t.String()) }
