package settings

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"reflect"
	"time"

	"github.com/pkg/errors"
)

// Mesh is the settings file of a node whose requests come by routes.
type Mesh struct {
	// NodeID names the VM; unique over all regions.
	NodeID string `json:"node_id"`
	Region string `json:"region"`
	Zone   string `json:"zone"`
	// Service is what the upstream on this VM serves.
	Service string `json:"service"`
	// UpstreamAddress is where the upstream listens, IP:port, until it says
	// otherwise.
	UpstreamAddress string `json:"upstream_address"`

	Listen    MeshListen `json:"listen"`
	Store     MeshStore  `json:"store"`
	Resources Resources  `json:"resources"`
	Stop      MeshStop   `json:"stop"`
	Retries   Retries    `json:"retries"`
	Logging   Logging    `json:"logging"`
}

// MeshListen are the addresses that the node listens on, IP:port.
type MeshListen struct {
	// Callers takes requests of callers and of the local upstream.
	Callers string `json:"callers"`
	// Inner takes calls of other nodes.
	Inner string `json:"inner"`
	// Ready answers whether the node takes callers.
	Ready string `json:"ready"`
	// Announce takes what the local upstream says of itself.
	Announce string `json:"announce"`
	// Metrics serves metrics; empty serves none.
	Metrics string `json:"metrics"`
}

// MeshStore is the platform's store.
type MeshStore struct {
	// Address is IP:port.
	Address string `json:"address"`
	// RecordBytes bounds one record. Default 262144.
	RecordBytes int `json:"record_bytes"`
}

// Resources are what the VM gives the node.
type Resources struct {
	// MemoryMB is where the process is ended. Default 256.
	MemoryMB int `json:"memory_mb"`
	// Descriptors bounds open files. Default 4096.
	Descriptors int `json:"descriptors"`
}

// MeshStop are the times of a planned stop.
type MeshStop struct {
	// Grace is the time from the signal to the end by force. Default 6s.
	Grace Duration `json:"grace"`
}

// Retries bound what all nodes together send to a service beyond the first
// attempt of each request.
type Retries struct {
	// Ratio of repeats to first attempts. Default 0.2.
	Ratio float64 `json:"ratio"`
	// Floor is how many repeats are allowed in each window besides. Default 0.
	Floor int `json:"floor"`
	// Window is the time over which both are counted. Default 10s.
	Window Duration `json:"window"`
}

// LoadMesh reads, completes and validates the settings file at path.
func LoadMesh(path string) (*Mesh, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, errors.Wrap(err, "open settings")
	}
	defer f.Close()
	doc, err := io.ReadAll(io.LimitReader(f, MaxFileBytes+1))
	if err != nil {
		return nil, errors.Wrapf(err, "read settings %s", path)
	}
	m, err := ParseMesh(doc)
	return m, errors.WithMessage(err, path)
}

// ParseMesh reads a settings document, fills in defaults and validates it.
func ParseMesh(doc []byte) (*Mesh, error) {
	if len(doc) > MaxFileBytes {
		return nil, errors.Errorf("settings: document is %d bytes or more, must be at most %d", len(doc), MaxFileBytes)
	}
	if err := checkShape(doc, reflect.TypeFor[Mesh]()); err != nil {
		return nil, err
	}
	m := MeshDefaults()
	if err := json.Unmarshal(doc, m); err != nil {
		return nil, errors.Wrap(err, "settings")
	}
	if err := m.Validate(); err != nil {
		return nil, err
	}
	return m, nil
}

// MeshDefaults returns settings with every default and nothing else.
func MeshDefaults() *Mesh {
	return &Mesh{
		Store:     MeshStore{RecordBytes: 256 << 10},
		Resources: Resources{MemoryMB: 256, Descriptors: 4096},
		Stop:      MeshStop{Grace: Duration(6 * time.Second)},
		Retries:   Retries{Ratio: 0.2, Window: Duration(10 * time.Second)},
		Logging:   Logging{Level: "info", Burst: 100, Sample: 100},
	}
}

// Validate reports the first field that is out of bounds as a *FieldError.
func (m *Mesh) Validate() error {
	for _, x := range []struct{ field, value string }{
		{"node_id", m.NodeID}, {"region", m.Region}, {"zone", m.Zone}, {"service", m.Service},
	} {
		if err := checkName(x.field, x.value); err != nil {
			return err
		}
	}
	for _, x := range []struct {
		field, value string
		optional     bool
	}{
		{"upstream_address", m.UpstreamAddress, false},
		{"listen.callers", m.Listen.Callers, false},
		{"listen.inner", m.Listen.Inner, false},
		{"listen.ready", m.Listen.Ready, false},
		{"listen.announce", m.Listen.Announce, false},
		{"listen.metrics", m.Listen.Metrics, true},
		{"store.address", m.Store.Address, false},
	} {
		if x.value == "" && x.optional {
			continue
		}
		if _, err := checkAddr(x.field, x.value, true); err != nil {
			return err
		}
	}
	switch {
	case m.Resources.MemoryMB < 32:
		return &FieldError{Field: "resources.memory_mb", Value: fmt.Sprint(m.Resources.MemoryMB), Bound: "at least 32"}
	case m.Resources.Descriptors < 256:
		return &FieldError{Field: "resources.descriptors", Value: fmt.Sprint(m.Resources.Descriptors), Bound: "at least 256"}
	case m.Stop.Grace.Std() < time.Second:
		return &FieldError{Field: "stop.grace", Value: fmt.Sprint(m.Stop.Grace), Bound: "at least 1s"}
	case m.Retries.Ratio < 0 || m.Retries.Ratio > 10:
		return &FieldError{Field: "retries.ratio", Value: fmt.Sprint(m.Retries.Ratio), Bound: "0 to 10"}
	case m.Retries.Floor < 0:
		return &FieldError{Field: "retries.floor", Value: fmt.Sprint(m.Retries.Floor), Bound: "at least 0"}
	case m.Retries.Window.Std() < time.Second:
		return &FieldError{Field: "retries.window", Value: fmt.Sprint(m.Retries.Window), Bound: "at least 1s"}
	case m.Store.RecordBytes < 1024:
		return &FieldError{Field: "store.record_bytes", Value: fmt.Sprint(m.Store.RecordBytes), Bound: "at least 1024"}
	}
	return m.Logging.validate()
}
