// Package settings reads the settings file of a node. The file is strict JSON: an unknown field is
// an error, durations are strings with a unit, and every error names the field, its value and the
// allowed values.
package settings

// Node is the settings file of one node.
type Node struct {
	// NodeID names the VM. It is unique across all regions.
	NodeID string `json:"node_id"`
	// Region groups availability zones.
	Region string `json:"region"`
	// Zone is the availability zone of the VM.
	Zone string `json:"zone"`

	Callers  Callers  `json:"callers"`
	Upstream Upstream `json:"upstream"`
	Inner    Inner    `json:"inner"`
	Admin    Admin    `json:"admin"`
	Log      Log      `json:"log"`

	// SeedPeers contains inner addresses (IP:port) of nodes from which this node requests state
	// and members while the log is unavailable. May be empty.
	SeedPeers []string `json:"seed_peers"`
	// Tokens contains the bearer tokens of callers and operators.
	Tokens []Token `json:"tokens"`

	Timing  Timing  `json:"timing"`
	Limits  Limits  `json:"limits"`
	Logging Logging `json:"logging"`
}

// Callers configures the listener for callers.
type Callers struct {
	// Address is IP:port.
	Address string `json:"address"`
	// TLS is nil for cleartext.
	TLS *TLS `json:"tls"`
	// RequireToken rejects callers without a token of role "caller" for their workspace. Default
	// false.
	RequireToken bool `json:"require_token"`
}

// Upstream configures the listener for the local upstream.
type Upstream struct {
	// Address is an IP:port on loopback.
	Address string `json:"address"`
}

// Inner configures the listener for other nodes.
type Inner struct {
	// Address is IP:port.
	Address string `json:"address"`
	// Advertised is the IP:port that other nodes connect to. It must not be unspecified (0.0.0.0).
	// The default is Address, to which this rule then applies too.
	Advertised string `json:"advertised"`
	// TLS with a CAFile requires a certificate from every peer. It is nil for cleartext.
	TLS *TLS `json:"tls"`
}

// Admin configures the listener for operators, which also serves /metrics.
type Admin struct {
	// Address is IP:port.
	Address string `json:"address"`
	// TLS is nil for cleartext.
	TLS *TLS `json:"tls"`
}

// TLS contains the certificate files of a listener.
type TLS struct {
	// CertFile and KeyFile are the paths of the listener's certificate and private key, in PEM.
	CertFile string `json:"cert_file"`
	KeyFile  string `json:"key_file"`
	// CAFile, if set, requires client certificates signed by one of its CAs.
	CAFile string `json:"ca_file"`
}

// Log configures access to the platform's log service.
type Log struct {
	// URL is an http or https URL.
	URL string `json:"url"`
	// AppendTimeout is the timeout of one append. Default 2s.
	AppendTimeout Duration `json:"append_timeout"`
	// ReadTimeout is the timeout of one read, in addition to ReadWait. Default 2s.
	ReadTimeout Duration `json:"read_timeout"`
	// ReadWait is the time that a read at the head of the log may wait for new records. Default
	// 1s.
	ReadWait Duration `json:"read_wait"`
	// Retention is the time for which the log keeps records. Default 24h.
	Retention Duration `json:"retention"`
}

// Role is the set of permissions of a token.
type Role string

const (
	// RoleCaller permits sending requests for the token's workspaces.
	RoleCaller Role = "caller"
	// RoleViewer permits reading state, configuration and events of the token's workspaces.
	RoleViewer Role = "viewer"
	// RoleOperator permits reading, publishing templates, setting instances and draining nodes.
	RoleOperator Role = "operator"
)

// AllWorkspaces is the entry in a token's workspaces that covers all workspaces.
const AllWorkspaces = "*"

// Token is one bearer token. The settings contain only its hash.
type Token struct {
	// SHA256 is the lower-case hexadecimal SHA-256 of the token.
	SHA256 string `json:"sha256"`
	// Name identifies the token's holder in logs and in the timeline.
	Name string `json:"name"`
	Role Role   `json:"role"`
	// Workspaces contains the workspaces that the token covers; "*" covers all.
	Workspaces []string `json:"workspaces"`
}

// Timing contains the node's periods and timeouts.
type Timing struct {
	// Exchange is the period of the control exchange with a relay, the node that reads the log for
	// its zone. Default 1s: with a limit of 2 KB/s for control traffic, each exchange may use 2 KB.
	Exchange Duration `json:"exchange"`
	// UpstreamSilence is the time without an announcement after which an upstream counts as gone.
	// Default 3s, three announcements.
	UpstreamSilence Duration `json:"upstream_silence"`
	// Authority is how long a head observation lets the owner of a slot start calls with the keys of
	// the slot. A head observation is a read that returned the head of the log; see package lease.
	// Authority must be the same on all nodes of a service. Default 3s.
	Authority Duration `json:"authority"`
	// DrainNotice is the time for which a draining node announces its departure before it waits for
	// calls in flight. Default 2s.
	DrainNotice Duration `json:"drain_notice"`
	// StopTimeout is the timeout of a whole planned stop. Default 60s.
	StopTimeout Duration `json:"stop_timeout"`
	// Connect is the timeout for establishing a connection. Default 250ms.
	Connect Duration `json:"connect"`
	// IdleConnection is the time after which an idle connection to another node is closed.
	// Default 5s.
	IdleConnection Duration `json:"idle_connection"`
}

// Limits contains the upper bounds of the node's queues, caches and buffers. Sizes are in bytes.
type Limits struct {
	// CallerConnections is the maximum number of open caller connections. Default 4096.
	CallerConnections int `json:"caller_connections"`
	// CallsInFlight is the maximum number of calls that the node handles at once, in any role.
	// Default 8192.
	CallsInFlight int `json:"calls_in_flight"`
	// PeerConnections is the maximum number of idle connections to one other node. Default 256.
	PeerConnections int `json:"peer_connections"`
	// Queue is the maximum length of the guard's queue, in calls. Default 1024.
	Queue int `json:"queue"`
	// BodyBytes is the maximum size of one request or response body in memory, regardless of the
	// template's limit. Default 16 MiB, the highest limit that a template may set.
	BodyBytes int `json:"body_bytes"`
	// HeldBytes is the maximum total size of all bodies in memory. Default 64 MiB.
	HeldBytes int `json:"held_bytes"`
	// AnswerBytes is the maximum total size of the responses kept for replay. Default 16 MiB.
	AnswerBytes int `json:"answer_bytes"`
	// AnswerKeys is the maximum number of idempotency keys kept. Default 65536.
	AnswerKeys int `json:"answer_keys"`
	// HeaderBytes is the maximum size of a request header. Default 32 KiB.
	HeaderBytes int `json:"header_bytes"`
	// TimelineEvents is the capacity of the event ring, in events. Default 8192.
	TimelineEvents int `json:"timeline_events"`
	// TimelineSample is N in "keep the events of 1 in N successful calls". Default 64.
	TimelineSample int `json:"timeline_sample"`
	// Suspects is the maximum number of crash records, one for each fingerprint of a request that
	// crashes upstreams. Default 2048.
	Suspects int `json:"suspects"`
}

// Logging configures the node's JSON log.
type Logging struct {
	// Level is debug, info, warn or error. Default info.
	Level string `json:"level"`
	// Burst is the number of lines of one level written in a second before sampling starts.
	// Default 100.
	Burst int `json:"burst"`
	// Sample is N in "write 1 in N lines beyond the burst". Default 100.
	Sample int `json:"sample"`
}
