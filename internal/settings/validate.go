package settings

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"net/url"
	"regexp"
	"slices"
	"strings"
	"time"
)

// MaxNameLen is the maximum length in bytes of names of nodes, regions, zones and workspaces.
const MaxNameLen = 64

const (
	maxPeers  = 64
	maxTokens = 1024
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]{0,62}[a-z0-9])?$`)

const nameBound = "1 to 64 of a-z, 0-9, '.', '_', '-', beginning and ending with a letter or digit"

// Validate returns a *FieldError for the first invalid field, or nil.
func (n *Node) Validate() error {
	checks := []func() error{
		n.validateNames,
		n.validateAddresses,
		n.validateTLS,
		n.Log.validate,
		n.validatePeers,
		n.validateTokens,
		n.Timing.validate,
		n.Limits.validate,
		n.Logging.validate,
	}
	for _, check := range checks {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

func (n *Node) validateNames() error {
	names := []struct{ field, value string }{
		{"node_id", n.NodeID},
		{"region", n.Region},
		{"zone", n.Zone},
	}
	for _, x := range names {
		if err := checkName(x.field, x.value); err != nil {
			return err
		}
	}
	return nil
}

func (n *Node) validateAddresses() error {
	if _, err := checkAddr("callers.address", n.Callers.Address, true); err != nil {
		return err
	}
	upstream, err := checkAddr("upstream.address", n.Upstream.Address, true)
	if err != nil {
		return err
	}
	if !upstream.Addr().IsLoopback() {
		return &FieldError{"upstream.address", quote(n.Upstream.Address), "a loopback address: the local upstream's port trusts whoever connects"}
	}
	if _, err := checkAddr("inner.address", n.Inner.Address, true); err != nil {
		return err
	}
	advertised, err := checkAddr("inner.advertised", n.Inner.Advertised, true)
	if err != nil {
		return err
	}
	if advertised.Addr().IsUnspecified() {
		return &FieldError{"inner.advertised", quote(n.Inner.Advertised), "an address that other nodes can reach"}
	}
	if _, err := checkAddr("admin.address", n.Admin.Address, true); err != nil {
		return err
	}
	return n.validateDistinct()
}

// validateDistinct rejects two listeners with the same address. Addresses with port 0 never
// conflict: the operating system assigns the port.
func (n *Node) validateDistinct() error {
	seen := map[string]string{}
	listeners := []struct{ field, addr string }{
		{"callers.address", n.Callers.Address},
		{"upstream.address", n.Upstream.Address},
		{"inner.address", n.Inner.Address},
		{"admin.address", n.Admin.Address},
	}
	for _, l := range listeners {
		if strings.HasSuffix(l.addr, ":0") {
			continue
		}
		if otherField, ok := seen[l.addr]; ok {
			return &FieldError{l.field, quote(l.addr), "other than " + otherField}
		}
		seen[l.addr] = l.field
	}
	return nil
}

func (n *Node) validateTLS() error {
	listeners := []struct {
		field string
		tls   *TLS
	}{
		{"callers.tls", n.Callers.TLS},
		{"inner.tls", n.Inner.TLS},
		{"admin.tls", n.Admin.TLS},
	}
	for _, l := range listeners {
		if l.tls == nil {
			continue
		}
		if l.tls.CertFile == "" {
			return &FieldError{l.field + ".cert_file", "empty", "a file"}
		}
		if l.tls.KeyFile == "" {
			return &FieldError{l.field + ".key_file", "empty", "a file"}
		}
	}
	return nil
}

func (l *Log) validate() error {
	u, err := url.Parse(l.URL)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return &FieldError{"log.url", quote(l.URL), "an http or https URL"}
	}
	return checkDurations([]durationCheck{
		{"log.append_timeout", l.AppendTimeout, 50 * time.Millisecond, time.Minute},
		{"log.read_timeout", l.ReadTimeout, 50 * time.Millisecond, time.Minute},
		{"log.read_wait", l.ReadWait, 10 * time.Millisecond, time.Minute},
		{"log.retention", l.Retention, time.Minute, 365 * 24 * time.Hour},
	})
}

func (n *Node) validatePeers() error {
	if len(n.SeedPeers) > maxPeers {
		return &FieldError{"seed_peers", fmt.Sprintf("%d long", len(n.SeedPeers)), fmt.Sprintf("at most %d", maxPeers)}
	}
	for i, p := range n.SeedPeers {
		if _, err := checkAddr(fmt.Sprintf("seed_peers[%d]", i), p, false); err != nil {
			return err
		}
	}
	return nil
}

func (n *Node) validateTokens() error {
	if len(n.Tokens) > maxTokens {
		return &FieldError{"tokens", fmt.Sprintf("%d long", len(n.Tokens)), fmt.Sprintf("at most %d", maxTokens)}
	}
	seen := map[string]bool{}
	for i := range n.Tokens {
		t := &n.Tokens[i]
		path := fmt.Sprintf("tokens[%d]", i)
		if err := t.validate(path); err != nil {
			return err
		}
		if seen[t.SHA256] {
			return &FieldError{path + ".sha256", quote(t.SHA256), "listed once"}
		}
		seen[t.SHA256] = true
	}
	return nil
}

func (t *Token) validate(path string) error {
	sum, err := hex.DecodeString(t.SHA256)
	if err != nil || len(sum) != 32 || t.SHA256 != strings.ToLower(t.SHA256) {
		return &FieldError{path + ".sha256", quote(t.SHA256), "64 lower-case hexadecimal digits"}
	}
	if err := checkName(path+".name", t.Name); err != nil {
		return err
	}
	if !slices.Contains([]Role{RoleCaller, RoleViewer, RoleOperator}, t.Role) {
		return &FieldError{path + ".role", quote(string(t.Role)), "caller, viewer or operator"}
	}
	if len(t.Workspaces) == 0 {
		return &FieldError{path + ".workspaces", "empty", `at least one name, or "*"`}
	}
	for j, w := range t.Workspaces {
		if w == AllWorkspaces {
			continue
		}
		if err := checkName(fmt.Sprintf("%s.workspaces[%d]", path, j), w); err != nil {
			return err
		}
	}
	return nil
}

func checkName(field, v string) error {
	if !namePattern.MatchString(v) {
		return &FieldError{field, quote(v), nameBound}
	}
	return nil
}

// checkAddr parses an IP:port. Host names are rejected: they need a resolver, and an outage of the
// platform may make the resolver unreachable too.
func checkAddr(field, v string, allowPortZero bool) (netip.AddrPort, error) {
	a, err := netip.ParseAddrPort(v)
	if err != nil || (a.Port() == 0 && !allowPortZero) {
		return a, &FieldError{field, quote(v), "IP:port"}
	}
	return a, nil
}

func quote(v string) string { return fmt.Sprintf("%q", v) }
