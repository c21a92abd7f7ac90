// Package settings reads the settings of a node: one strict JSON file. A field
// that isn't known is an error that names it, durations are strings with a
// unit, and every error names the field, its value and the bound.
package settings

// Node is the whole settings file of one node.
type Node struct {
	// NodeID names the VM; unique over all regions.
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

	// SeedPeers are inner addresses (IP:port) to ask for state and members
	// while the log is out. May be empty.
	SeedPeers []string `json:"seed_peers"`
	// Tokens are the bearer tokens of callers and operators.
	Tokens []Token `json:"tokens"`

	Timing  Timing  `json:"timing"`
	Limits  Limits  `json:"limits"`
	Logging Logging `json:"logging"`
}

// Callers is the listener for callers.
type Callers struct {
	// Address is IP:port.
	Address string `json:"address"`
	TLS     *TLS   `json:"tls"`
	// RequireToken refuses callers without a token of role "caller" for
	// their workspace. Default false.
	RequireToken bool `json:"require_token"`
}

// Upstream is the listener for the local upstream.
type Upstream struct {
	// Address is IP:port on loopback.
	Address string `json:"address"`
}

// Inner is the listener for other nodes.
type Inner struct {
	// Address is IP:port.
	Address string `json:"address"`
	// Advertised is the IP:port that other nodes use. Default Address, which
	// must then not be unspecified (0.0.0.0).
	Advertised string `json:"advertised"`
	// TLS with a CAFile demands a certificate of every peer.
	TLS *TLS `json:"tls"`
}

// Admin is the listener for operators; /metrics is served there too.
type Admin struct {
	// Address is IP:port.
	Address string `json:"address"`
	TLS     *TLS   `json:"tls"`
}

// TLS names the files of a listener's certificate.
type TLS struct {
	CertFile string `json:"cert_file"`
	KeyFile  string `json:"key_file"`
	// CAFile, when given, demands client certificates signed by it.
	CAFile string `json:"ca_file"`
}

// Log is the platform's log service.
type Log struct {
	// URL is http or https.
	URL string `json:"url"`
	// AppendTimeout bounds one append. Default 2s.
	AppendTimeout Duration `json:"append_timeout"`
	// ReadTimeout bounds one read beyond its wait. Default 2s.
	ReadTimeout Duration `json:"read_timeout"`
	// ReadWait is how long a read at the head may wait. Default 1s.
	ReadWait Duration `json:"read_wait"`
	// Retention is how long the log keeps records. Default 24h.
	Retention Duration `json:"retention"`
}

// Role is what a token may be used for.
type Role string

const (
	// RoleCaller may send requests of its workspaces.
	RoleCaller Role = "caller"
	// RoleViewer may read what concerns its workspaces.
	RoleViewer Role = "viewer"
	// RoleOperator may also publish, set and drain.
	RoleOperator Role = "operator"
)

// AllWorkspaces in a token's workspaces covers every one.
const AllWorkspaces = "*"

// Token is one bearer token, known only by its hash.
type Token struct {
	// SHA256 is the lower-case hexadecimal SHA-256 of the token.
	SHA256 string `json:"sha256"`
	// Name is what logs and the timeline call the holder.
	Name string `json:"name"`
	Role Role   `json:"role"`
	// Workspaces are those covered; "*" covers all.
	Workspaces []string `json:"workspaces"`
}

// Timing are the node's periods and timeouts.
type Timing struct {
	// Exchange is the period of the exchange with a relay. Default 1s: with
	// 2 KB/s for control it leaves 2 KB for each.
	Exchange Duration `json:"exchange"`
	// UpstreamSilence is when an upstream that stopped announcing itself is
	// held for gone. Default 3s, three announcements.
	UpstreamSilence Duration `json:"upstream_silence"`
	// Authority is how long a proof of key ownership counts; the same on all
	// nodes of a service. Default 3s.
	Authority Duration `json:"authority"`
	// DrainNotice is how long a leaving node goes on telling so before it
	// waits for calls in flight. Default 2s.
	DrainNotice Duration `json:"drain_notice"`
	// StopTimeout bounds a planned stop as a whole. Default 60s.
	StopTimeout Duration `json:"stop_timeout"`
	// Connect bounds making a connection. Default 250ms.
	Connect Duration `json:"connect"`
	// IdleConnection is how long an unused connection to another node is kept
	// for calls. Default 5s.
	IdleConnection Duration `json:"idle_connection"`
}

// Limits bound what the node holds. Sizes are in bytes.
type Limits struct {
	// CallerConnections bounds open connections of callers. Default 4096.
	CallerConnections int `json:"caller_connections"`
	// CallsInFlight bounds calls held by the node in any role. Default 8192.
	CallsInFlight int `json:"calls_in_flight"`
	// PeerConnections bounds idle connections kept to one other node.
	// Default 256.
	PeerConnections int `json:"peer_connections"`
	// Queue bounds the guard's queue, in calls. Default 1024.
	Queue int `json:"queue"`
	// BodyBytes bounds one request's or answer's body held in memory, whatever
	// a template allows. Default 16 MiB, the most that a template may allow.
	BodyBytes int `json:"body_bytes"`
	// HeldBytes bounds all bodies held at once. Default 64 MiB.
	HeldBytes int `json:"held_bytes"`
	// AnswerBytes bounds the answers kept for resends. Default 16 MiB.
	AnswerBytes int `json:"answer_bytes"`
	// AnswerKeys bounds the idempotency keys remembered. Default 65536.
	AnswerKeys int `json:"answer_keys"`
	// HeaderBytes bounds the header of a request. Default 32 KiB.
	HeaderBytes int `json:"header_bytes"`
	// TimelineEvents bounds the ring of events. Default 8192.
	TimelineEvents int `json:"timeline_events"`
	// TimelineSample keeps the events of one good call in so many. Default 64.
	TimelineSample int `json:"timeline_sample"`
	// Suspects bounds the fingerprints of crashing requests. Default 2048.
	Suspects int `json:"suspects"`
}

// Logging is the node's log of JSON lines.
type Logging struct {
	// Level is debug, info, warn or error. Default info.
	Level string `json:"level"`
	// Burst is how many lines of one level go out in each second before
	// sampling starts. Default 100.
	Burst int `json:"burst"`
	// Sample keeps one line in so many beyond the burst. Default 100.
	Sample int `json:"sample"`
}
