package routes

import (
	"encoding/json"
	"errors"
	"math"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

func configWithWorkspaces(workspaces ...Workspace) *Config {
	c := config(1, route("h", "/x/", WeightedService{"a", 1}))
	c.Workspaces = workspaces
	return c
}

// Guards against an API key that is assigned to another workspace, or to one although it is
// unknown.
func TestWorkspaceIsFoundByKey(t *testing.T) {
	c := configWithWorkspaces(Workspace{Name: "north", Keys: []Key{KeyOf("k1"), KeyOf("k2")}}, Workspace{Name: "south", Keys: []Key{KeyOf("k3")}})
	must.NoError(t, c.Validate())
	table := NewTable(nil, c, 0)
	must.EqOp(t, "north", table.WorkspaceByKey("k2").Name)
	must.EqOp(t, "south", table.WorkspaceByKey("k3").Name)
	must.Nil(t, table.WorkspaceByKey("k4"))
	must.Nil(t, table.WorkspaceByKey(""))
}

// Guards against a required API key on a public route or without workspaces, and against a route
// that requires none although it is not public.
func TestKeyRequiredWhenWorkspacesConfigured(t *testing.T) {
	c := configWithWorkspaces(Workspace{Name: "north"})
	c.Routes = append(c.Routes, Route{Host: "h", Prefix: "/open/", Public: true})
	table := NewTable(nil, c, 0)
	must.True(t, table.NeedsKey(table.Match("h", "/x/")))
	must.False(t, table.NeedsKey(table.Match("h", "/open/")))
	open := NewTable(nil, configWithWorkspaces(), 0)
	must.False(t, open.NeedsKey(open.Match("h", "/x/")))
}

// Guards against an invalid workspace that is accepted, or whose error names another field.
func TestWorkspaceErrorsNameTheField(t *testing.T) {
	for field, c := range map[string]*Config{
		"workspaces.name": configWithWorkspaces(Workspace{Name: "-"}),
		"north: name":     configWithWorkspaces(Workspace{Name: "north"}, Workspace{Name: "north"}),
		"south: keys":     configWithWorkspaces(Workspace{Name: "north", Keys: []Key{KeyOf("k")}}, Workspace{Name: "south", Keys: []Key{KeyOf("k")}}),
		"north: keys":     configWithWorkspaces(Workspace{Name: "north", Keys: []Key{KeyOf("")}}),
		"north: rate":     configWithWorkspaces(Workspace{Name: "north", Rate: math.NaN()}),
		"north: burst":    configWithWorkspaces(Workspace{Name: "north", Burst: -1}),
	} {
		var got *FieldError
		must.True(t, errors.As(c.Validate(), &got), must.Sprint(field))
		must.StrContains(t, got.Field, field)
	}
}

// Guards against API keys that can be read by another node, in an operator's view or in a log.
func TestEncodedConfigDoesNotRevealKeys(t *testing.T) {
	c := configWithWorkspaces(Workspace{Name: "north", Keys: []Key{KeyOf("secret-of-north")}})
	raw, err := json.Marshal(c)
	must.NoError(t, err)
	must.False(t, strings.Contains(string(raw), "secret"))
	var back Config
	must.NoError(t, json.Unmarshal(raw, &back))
	must.Eq(t, *c, back)
	d := Diff(configWithWorkspaces(Workspace{Name: "north"}), c)
	must.Eq(t, []Difference{{Route: "workspace north", Field: "keys", Old: "[]", New: "[" + KeyOf("secret-of-north").String() + "]"}}, d)
}

// FuzzKeyDigest decodes arbitrary texts: a text that is accepted must encode to the same text.
func FuzzKeyDigest(f *testing.F) {
	f.Add([]byte("00ff"))
	f.Add([]byte(strings.Repeat("ab", 32)))
	f.Fuzz(func(t *testing.T, text []byte) {
		var k Key
		if k.UnmarshalText(text) != nil {
			return
		}
		again, err := k.MarshalText()
		must.NoError(t, err)
		must.EqOp(t, strings.ToLower(string(text)), string(again))
	})
}
