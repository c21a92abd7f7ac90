package settings

import (
	"cmp"
	"fmt"
	"time"
)

// Mesh is the settings file of a node that forwards requests by routes.
type Mesh struct {
	// NodeID names the VM. It is unique across all regions.
	NodeID string `json:"node_id"`
	// Region groups availability zones.
	Region string `json:"region"`
	// Zone is the availability zone of the VM.
	Zone string `json:"zone"`
	// Service is the name of the service that the upstream on this VM provides.
	Service string `json:"service"`
	// UpstreamAddress is the IP:port of the upstream. It applies until the upstream announces
	// another address.
	UpstreamAddress string `json:"upstream_address"`

	// FirstStart marks the first start of the whole deployment, at which the store contains no
	// record of any node. Default false.
	FirstStart bool `json:"first_start"`

	Listen    MeshListen   `json:"listen"`
	Store     MeshStore    `json:"store"`
	Upstream  MeshUpstream `json:"upstream"`
	Resources Resources    `json:"resources"`
	Stop      MeshStop     `json:"stop"`
	Retries   Retries      `json:"retries"`
	Quotas    Quotas       `json:"quotas"`
	Shares    Shares       `json:"shares"`
	Balance   Balance      `json:"balance"`
	Trees     Trees        `json:"trees"`
	Logging   Logging      `json:"logging"`
}

// MeshListen contains the addresses that the node listens on, as IP:port.
type MeshListen struct {
	// Callers accepts requests from callers and from the local upstream.
	Callers string `json:"callers"`
	// Inner accepts calls from other nodes.
	Inner string `json:"inner"`
	// InnerAdvertised is the address at which other nodes reach Inner. Empty means the address
	// in Inner.
	InnerAdvertised string `json:"inner_advertised"`
	// Ready serves the readiness check: whether the node accepts callers.
	Ready string `json:"ready"`
	// Announce accepts the announcements of the local upstream.
	Announce string `json:"announce"`
	// Metrics serves metrics. Empty disables them.
	Metrics string `json:"metrics"`
}

// MeshStore configures access to the platform's store.
type MeshStore struct {
	// Address is IP:port.
	Address string `json:"address"`
	// Name identifies the store where nodes reach the same store at different addresses.
	// Default: the address.
	Name string `json:"name"`
	// RecordBytes is the maximum size of one record in bytes. Default 262144.
	RecordBytes int `json:"record_bytes"`
}

// Identity returns the name, or the address if there is no name. Nodes with the same identity
// read the same store.
func (s MeshStore) Identity() string { return cmp.Or(s.Name, s.Address) }

// MeshUpstream describes the upstream beside the node.
type MeshUpstream struct {
	// ReportInterval is the time between two reports of an upstream. Default 1.5s.
	ReportInterval Duration `json:"report_interval"`
}

// Resources contains the limits that the VM sets for the node process.
type Resources struct {
	// MemoryMB is the memory size in MB at which the process is killed. Default 256.
	MemoryMB int `json:"memory_mb"`
	// Descriptors is the maximum number of open files. Default 4096.
	Descriptors int `json:"descriptors"`
}

// MeshStop contains the timeouts of a planned stop.
type MeshStop struct {
	// Grace is the time from the stop signal until the process is killed. Default 6s.
	Grace Duration `json:"grace"`
}

// Retries is the retry budget of a service: it bounds the attempts that all nodes together send
// beyond the first attempt of each request.
type Retries struct {
	// Ratio is the maximum ratio of retries to first attempts. Default 0.2.
	Ratio float64 `json:"ratio"`
	// Floor is the number of retries allowed in each window in addition to Ratio. Default 0.
	Floor float64 `json:"floor"`
	// Window is the period over which attempts are counted. Default 10s.
	Window Duration `json:"window"`
}

// Quotas bounds the requests that all nodes together may admit beyond the quota of a workspace
// in any window. The bound is Overage, multiplied by the quota of one window, plus Slack.
type Quotas struct {
	// Window is the period over which requests are counted. Default 5s.
	Window Duration `json:"window"`
	// Overage is the part of the bound that grows with the quota, as a fraction of the quota of
	// one window. Default 0.
	Overage float64 `json:"overage"`
	// Slack is the fixed part of the bound, in requests. Default 0.
	Slack float64 `json:"slack"`
}

// Balance configures how calls are spread over the upstreams of a service. Default: all off.
type Balance struct {
	// HandBack returns calls that wait at a guard to their senders while other upstreams have free
	// slots.
	HandBack bool `json:"hand_back"`
	// Speeds weighs the slots of an upstream by its speed as measured.
	Speeds bool `json:"speeds"`
	// Zones sends a share of a zone's calls to other zones with more room, before its own queues
	// build.
	Zones bool `json:"zones"`
}

// Trees sets how call trees that call a scarce service are admitted.
type Trees struct {
	// Reserve makes entry nodes ask a guard of the scarce service for room before they admit a tree.
	// Default false.
	Reserve bool `json:"reserve"`
	// Overcommit is the ratio of the room that a guard promises to the room that there is. Default 1.
	Overcommit float64 `json:"overcommit"`
}

// LoadMesh reads the settings file at path, fills in defaults and validates it. Errors name the
// path.
func LoadMesh(path string) (*Mesh, error) { return load(path, ParseMesh) }

// ParseMesh reads a settings document, fills in defaults and validates it.
func ParseMesh(doc []byte) (*Mesh, error) {
	m := MeshDefaults()
	if err := decode(doc, m); err != nil {
		return nil, err
	}
	if err := m.Validate(); err != nil {
		return nil, err
	}
	return m, nil
}

// MeshDefaults returns settings in which only the defaults are set.
func MeshDefaults() *Mesh {
	return &Mesh{
		Store:     MeshStore{RecordBytes: 256 << 10},
		Upstream:  MeshUpstream{ReportInterval: Duration(1500 * time.Millisecond)},
		Resources: Resources{MemoryMB: 256, Descriptors: 4096},
		Stop:      MeshStop{Grace: Duration(6 * time.Second)},
		Retries:   Retries{Ratio: 0.2, Window: Duration(10 * time.Second)},
		Quotas:    Quotas{Window: Duration(5 * time.Second)},
		Trees:     Trees{Overcommit: 1},
		Logging:   Logging{Level: "info", Burst: 100, Sample: 100},
	}
}

// maxRetryFloor bounds retries.floor.
const maxRetryFloor = 1_000_000

// Validate returns a *FieldError for the first invalid field, or nil.
func (m *Mesh) Validate() error {
	for _, check := range []func() error{m.validateNames, m.validateAddresses, m.validateRanges, m.Shares.validate, m.Logging.validate} {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

// NeedRestart returns the fields that differ in next and take effect only after a restart: the
// identity of the node, its listen addresses, the record size and the log sampling.
func (m *Mesh) NeedRestart(next *Mesh) []string {
	var fields []string
	for _, x := range []struct {
		field string
		same  bool
	}{
		{"node_id", m.NodeID == next.NodeID},
		{"region", m.Region == next.Region},
		{"zone", m.Zone == next.Zone},
		{"service", m.Service == next.Service},
		{"upstream_address", m.UpstreamAddress == next.UpstreamAddress},
		{"listen", m.Listen == next.Listen},
		{"store.record_bytes", m.Store.RecordBytes == next.Store.RecordBytes},
		{"upstream.report_interval", m.Upstream.ReportInterval == next.Upstream.ReportInterval},
		{"logging.burst", m.Logging.Burst == next.Logging.Burst},
		{"logging.sample", m.Logging.Sample == next.Logging.Sample},
	} {
		if !x.same {
			fields = append(fields, x.field)
		}
	}
	return fields
}

func (m *Mesh) validateNames() error {
	for _, x := range []struct{ field, value string }{
		{"node_id", m.NodeID}, {"region", m.Region}, {"zone", m.Zone}, {"service", m.Service},
	} {
		if err := checkName(x.field, x.value); err != nil {
			return err
		}
	}
	if m.Store.Name == "" {
		return nil
	}
	return checkName("store.name", m.Store.Name)
}

func (m *Mesh) validateAddresses() error {
	for _, x := range []struct{ field, value string }{
		{"listen.metrics", m.Listen.Metrics},
		{"listen.inner_advertised", m.Listen.InnerAdvertised},
	} {
		if x.value == "" {
			continue
		}
		if _, err := checkAddr(x.field, x.value, true); err != nil {
			return err
		}
	}
	for _, x := range []struct{ field, value string }{
		{"upstream_address", m.UpstreamAddress},
		{"listen.callers", m.Listen.Callers},
		{"listen.inner", m.Listen.Inner},
		{"listen.ready", m.Listen.Ready},
		{"listen.announce", m.Listen.Announce},
		{"store.address", m.Store.Address},
	} {
		if _, err := checkAddr(x.field, x.value, true); err != nil {
			return err
		}
	}
	return nil
}

func (m *Mesh) validateRanges() error {
	for _, x := range []struct {
		ok    bool
		field string
		value any
		bound string
	}{
		{m.Resources.MemoryMB >= 32, "resources.memory_mb", m.Resources.MemoryMB, "at least 32"},
		{m.Resources.Descriptors >= 256, "resources.descriptors", m.Resources.Descriptors, "at least 256"},
		{m.Stop.Grace.Std() >= time.Second, "stop.grace", m.Stop.Grace, "at least 1s"},
		{m.Retries.Ratio >= 0 && m.Retries.Ratio <= 10, "retries.ratio", m.Retries.Ratio, "0 to 10"},
		{m.Retries.Floor >= 0 && m.Retries.Floor <= maxRetryFloor, "retries.floor", m.Retries.Floor, "0 to 1000000"},
		{m.Retries.Window.Std() >= time.Second, "retries.window", m.Retries.Window, "at least 1s"},
		{m.Quotas.Window.Std() >= 100*time.Millisecond && m.Quotas.Window.Std() <= time.Hour, "quotas.window", m.Quotas.Window, "100ms to 1h"},
		{m.Quotas.Overage >= 0 && m.Quotas.Overage <= 10, "quotas.overage", m.Quotas.Overage, "0 to 10"},
		{m.Quotas.Slack >= 0 && m.Quotas.Slack <= 1_000_000, "quotas.slack", m.Quotas.Slack, "0 to 1000000"},
		{m.Trees.Overcommit >= 0.5 && m.Trees.Overcommit <= 2, "trees.overcommit", m.Trees.Overcommit, "0.5 to 2"},
		{m.Upstream.ReportInterval.Std() >= 100*time.Millisecond && m.Upstream.ReportInterval.Std() <= time.Minute, "upstream.report_interval", m.Upstream.ReportInterval, "100ms to 1m"},
		{m.Store.RecordBytes >= 1024, "store.record_bytes", m.Store.RecordBytes, "at least 1024"},
	} {
		if !x.ok {
			return &FieldError{Field: x.field, Value: fmt.Sprint(x.value), Bound: x.bound}
		}
	}
	return nil
}
