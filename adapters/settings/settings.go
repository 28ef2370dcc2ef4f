package settings

import (
	"greengagespoke/adapters/strictyaml"
	"greengagespoke/domain"
)

// Error is an error in a settings file.
type Error = strictyaml.Error

// Secret is a string that is redacted in logs and dumps.
type Secret string

// String implements fmt.Stringer. It hides the text.
func (Secret) String() string { return "(hidden)" }

// GoString implements fmt.GoStringer. It hides the text.
func (Secret) GoString() string { return `"(hidden)"` }

// Settings holds the settings of one entry host.
type Settings struct {
	Host     Host     `yaml:"host"`
	Listen   Listen   `yaml:"listen"`
	Peers    Peers    `yaml:"peers"`
	Auth     Auth     `yaml:"auth"`
	Platform Platform `yaml:"platform"`
	Timings  Timings  `yaml:"timings"`
	Limits   Limits   `yaml:"limits"`
	Log      Log      `yaml:"log"`
}

// Host identifies the host.
type Host struct {
	// ID is the name of the host, unique in the deployment and the same across
	// restarts. Required.
	ID domain.HostID `yaml:"id"`
	// AvailabilityZone is the availability zone of the host. The part before the
	// last "-" is its region. Required.
	AvailabilityZone domain.Zone `yaml:"availability_zone"`
}

// Listen holds the two listeners of a host.
type Listen struct {
	// Callers is the listener for callers' HTTP requests. Required.
	Callers Listener `yaml:"callers"`
	// Peers is the listener for other entry hosts. Required.
	Peers Listener `yaml:"peers"`
}

// Listener is one listening socket.
type Listener struct {
	// Address is IP:PORT to listen on. Required.
	Address string `yaml:"address"`
	// Advertise is the IP:PORT at which others reach the listener. Default: the
	// address. Required if the address is 0.0.0.0 or [::].
	Advertise string `yaml:"advertise"`
	// TLS enables TLS. Default: off.
	TLS *TLS `yaml:"tls"`
}

// TLS names the certificate and key files of a listener.
type TLS struct {
	// Cert is the path of the certificate chain in PEM. Required.
	Cert string `yaml:"cert"`
	// Key is the path of the private key in PEM. Required.
	Key string `yaml:"key"`
}

// Peers configures how entry hosts authenticate each other.
type Peers struct {
	// SharedKey signs the calls between entry hosts. It is the same on all
	// hosts and has at least 16 bytes. Required.
	SharedKey Secret `yaml:"shared_key"`
	// CA is the path of the PEM certificates that sign peers' certificates.
	// Required with listen.peers.tls, and not allowed without.
	CA string `yaml:"ca"`
}

// AuthMode selects how callers are identified.
type AuthMode string

// The modes of authentication.
const (
	// AuthNone trusts the caller name in the request. Use it for demos only.
	AuthNone AuthMode = "none"
	// AuthToken requires a signed bearer token (JWT, RFC 7519) on every request.
	AuthToken AuthMode = "token"
)

// Auth configures how callers are identified.
type Auth struct {
	// Mode is none or token. Required.
	Mode AuthMode `yaml:"mode"`
	// Keys are the one or two keys that tokens may be signed with (HS256). Both
	// keys are active during a key rotation. Required in mode token.
	Keys []AuthKey `yaml:"keys"`
	// Issuer is the "iss" claim that tokens must carry. Required in mode token.
	Issuer string `yaml:"issuer"`
	// Audience is the "aud" claim that tokens must carry. Default: not checked.
	Audience string `yaml:"audience"`
}

// AuthKey is one key that signs callers' tokens.
type AuthKey struct {
	// ID is the "kid" header of tokens signed with the key. Required.
	ID string `yaml:"id"`
	// Secret is the key, at least 32 bytes. Required.
	Secret Secret `yaml:"secret"`
}

// Platform holds the URLs of the platform's services. The host of a URL is an IP
// address, as in http://10.0.0.9:7300.
type Platform struct {
	// Tables is the base URL of the table service. Required.
	Tables string `yaml:"tables"`
	// Objects is the base URL of the object store. Required.
	Objects string `yaml:"objects"`
	// Bucket is the bucket in the object store. Default: greengagespoke.
	Bucket string `yaml:"bucket"`
	// HostList is the URL of the host list. Required.
	HostList string `yaml:"host_list"`
	// Token is sent to the platform as a bearer token. Default: none is sent.
	Token Secret `yaml:"token"`
	// Timeout bounds one call to the platform. Default: 2s.
	Timeout domain.Duration `yaml:"timeout"`
}

// Timings holds the intervals and timeouts of a host. All are durations with a unit.
type Timings struct {
	// EntrypointsMaxAge is how long callers may cache the list of entry point
	// addresses. Default: 10s.
	EntrypointsMaxAge domain.Duration `yaml:"entrypoints_max_age"`
	// DrainMargin is how long a leaving host accepts new work beyond
	// entrypoints_max_age. Default: 2s.
	DrainMargin domain.Duration `yaml:"drain_margin"`
	// TablePoll is the mean interval between reads of the table revision. Default: 2s.
	TablePoll domain.Duration `yaml:"table_poll"`
	// HostListPoll is the mean interval between reads of the host list, which tells
	// which upstreams are leaving. An unchanged list is not sent again. Default: 1s.
	HostListPoll domain.Duration `yaml:"host_list_poll"`
}

// Limits bounds the load that a host accepts and causes.
type Limits struct {
	// MaxBodyBytes bounds the body of a caller's request, in bytes. Default: 4194304.
	MaxBodyBytes int64 `yaml:"max_body_bytes"`
	// StoreWritesPerSecond is the number of writes per second that the platform's
	// table service and object store allow for all hosts together. Default: 300.
	StoreWritesPerSecond int `yaml:"store_writes_per_second"`
	// StoreReadsPerSecond is the same limit for reads. Default: 2000.
	StoreReadsPerSecond int `yaml:"store_reads_per_second"`
}

// Log configures the log on standard error.
type Log struct {
	// Verbosity is the klog verbosity level, from 0 (changes of state only) to 10
	// (everything). Default: 0.
	Verbosity int `yaml:"verbosity"`
}
