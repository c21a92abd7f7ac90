package settings

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/galenagrade/galenagrade/internal/share"
)

// Shares divides scarce capacity among workspaces of the same importance.
type Shares struct {
	// Enabled turns shares on. Default false.
	Enabled bool `json:"enabled"`
	// Overrides replace what follows from the quotas of workspaces. Default none.
	Overrides []ShareOverride `json:"overrides"`
}

// ShareOverride is what operators set for one workspace. A field that is left out keeps its default.
type ShareOverride struct {
	Workspace string `json:"workspace"`
	// Weight divides capacity; an average workspace has weight 1.
	Weight *float64 `json:"weight"`
	// Least is the rate in requests per second that goes before all shares.
	Least *float64 `json:"least"`
	// Most is the rate in requests per second beyond which requests go after all shares.
	Most *float64 `json:"most"`
	// Until is the time at which the override ends, as in RFC 3339. Empty means never.
	Until string `json:"until"`
}

// Override returns the override in the form that package share uses. The settings must be valid.
func (o *ShareOverride) Override() share.Override {
	until, _ := o.until()
	return share.Override{Workspace: o.Workspace, Weight: o.Weight, Least: o.Least, Most: o.Most, Until: until}
}

// until returns the end of the override; zero if it has none.
func (o *ShareOverride) until() (time.Time, error) {
	if o.Until == "" {
		return time.Time{}, nil
	}
	return time.Parse(time.RFC3339, o.Until)
}

func (s *Shares) validate() error {
	if len(s.Overrides) > share.MaxOverrides {
		return &FieldError{"shares.overrides", fmt.Sprintf("%d long", len(s.Overrides)), fmt.Sprintf("at most %d", share.MaxOverrides)}
	}
	seen := make(map[string]bool, len(s.Overrides))
	for i := range s.Overrides {
		o := &s.Overrides[i]
		path := fmt.Sprintf("shares.overrides[%d]", i)
		if err := o.validate(path); err != nil {
			return err
		}
		if seen[o.Workspace] {
			return &FieldError{path + ".workspace", quote(o.Workspace), "listed once"}
		}
		seen[o.Workspace] = true
	}
	return nil
}

func (o *ShareOverride) validate(path string) error {
	if o.Workspace == "" || len(o.Workspace) > MaxNameLen {
		return &FieldError{path + ".workspace", quote(o.Workspace), fmt.Sprintf("1 to %d bytes long", MaxNameLen)}
	}
	if _, err := o.until(); err != nil {
		return &FieldError{path + ".until", quote(o.Until), `a time such as "2026-05-01T12:00:00Z"`}
	}
	checked := share.Override{Weight: o.Weight, Least: o.Least, Most: o.Most}
	var invalid *share.FieldError
	if errors.As(checked.Validate(), &invalid) {
		return &FieldError{path + "." + invalid.Field, invalid.Value, invalid.Bound}
	}
	return nil
}
