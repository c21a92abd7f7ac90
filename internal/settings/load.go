package settings

import (
	"encoding/json"
	"io"
	"os"
	"reflect"
	"time"

	"github.com/pkg/errors"
)

// MaxFileBytes is the maximum size of a settings file in bytes.
const MaxFileBytes = 1 << 20

// Load reads the settings file at path, fills in defaults and validates it. Errors name the path.
func Load(path string) (*Node, error) { return load(path, Parse) }

// load reads the file at path and parses it. Every error names the path.
func load[T any](path string, parse func([]byte) (*T, error)) (*T, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, errors.Wrap(err, "open settings")
	}
	defer f.Close()
	doc, err := io.ReadAll(io.LimitReader(f, MaxFileBytes+1))
	if err != nil {
		return nil, errors.Wrapf(err, "read settings %s", path)
	}
	parsed, err := parse(doc)
	return parsed, errors.WithMessage(err, path)
}

// Parse reads a settings document, fills in defaults and validates it.
func Parse(doc []byte) (*Node, error) {
	n := Defaults()
	if err := decode(doc, n); err != nil {
		return nil, err
	}
	n.setDerivedDefaults()
	if err := n.Validate(); err != nil {
		return nil, err
	}
	return n, nil
}

// decode unmarshals a document into settings that already contain the defaults. An unknown field
// or a value of the wrong type is an error that names the field.
func decode[T any](doc []byte, into *T) error {
	if len(doc) > MaxFileBytes {
		return errors.Errorf("settings: document is %d bytes or more, must be at most %d", len(doc), MaxFileBytes)
	}
	if err := checkSchema(doc, reflect.TypeFor[T]()); err != nil {
		return err
	}
	return errors.Wrap(json.Unmarshal(doc, into), "settings")
}

// Defaults returns settings in which only the defaults are set. They fail validation until the
// names, addresses and log URL are set.
func Defaults() *Node {
	return &Node{
		SeedPeers: []string{},
		Tokens:    []Token{},
		Log: Log{
			AppendTimeout: Duration(2 * time.Second),
			ReadTimeout:   Duration(2 * time.Second),
			ReadWait:      Duration(time.Second),
			Retention:     Duration(24 * time.Hour),
		},
		Timing: Timing{
			Exchange:        Duration(time.Second),
			UpstreamSilence: Duration(3 * time.Second),
			Authority:       Duration(3 * time.Second),
			DrainNotice:     Duration(2 * time.Second),
			StopTimeout:     Duration(time.Minute),
			Connect:         Duration(250 * time.Millisecond),
			IdleConnection:  Duration(5 * time.Second),
		},
		Limits: Limits{
			CallerConnections: 4096,
			CallsInFlight:     8192,
			PeerConnections:   256,
			Queue:             1024,
			BodyBytes:         16 << 20,
			HeldBytes:         64 << 20,
			AnswerBytes:       16 << 20,
			AnswerKeys:        1 << 16,
			HeaderBytes:       32 << 10,
			TimelineEvents:    8192,
			TimelineSample:    64,
			Suspects:          2048,
		},
		Logging: Logging{Level: "info", Burst: 100, Sample: 100},
	}
}

// setDerivedDefaults sets the defaults that depend on other fields.
func (n *Node) setDerivedDefaults() {
	if n.Inner.Advertised == "" {
		n.Inner.Advertised = n.Inner.Address
	}
}
