package settings

import (
	"errors"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

func withShares(shares string) []byte {
	return []byte(strings.Replace(minimalMeshDoc, `"node_id"`, `"shares":`+shares+`,"node_id"`, 1))
}

// Guards against shares that are on unless settings ask for them, and against overrides that lose a
// field on the way.
func TestSharesAreOffByDefaultAndKeepOverrides(t *testing.T) {
	m, err := ParseMesh([]byte(minimalMeshDoc))
	must.NoError(t, err)
	must.False(t, m.Shares.Enabled)
	m, err = ParseMesh(withShares(`{"enabled":true,"overrides":[{"workspace":"north","weight":2.5,"least":3,"until":"2026-05-01T12:00:00Z"}]}`))
	must.NoError(t, err)
	must.SliceLen(t, 1, m.Shares.Overrides)
	o := m.Shares.Overrides[0].Override()
	must.EqOp(t, 2.5, *o.Weight)
	must.EqOp(t, 3, *o.Least)
	must.Nil(t, o.Most)
	must.EqOp(t, 2026, o.Until.Year())
}

// Guards against a bad override that is accepted, or whose error doesn't name its field.
func TestBadShareOverridesNameTheField(t *testing.T) {
	for doc, field := range map[string]string{
		`{"enabled":1}`: "shares.enabled",
		`{"overrides":[{"workspace":"","weight":1}]}`:          "shares.overrides[0].workspace",
		`{"overrides":[{"workspace":"a","weight":0}]}`:         "shares.overrides[0].weight",
		`{"overrides":[{"workspace":"a","weight":-1}]}`:        "shares.overrides[0].weight",
		`{"overrides":[{"workspace":"a","least":-1}]}`:         "shares.overrides[0].least",
		`{"overrides":[{"workspace":"a","least":9,"most":8}]}`: "shares.overrides[0].least",
		`{"overrides":[{"workspace":"a","until":"tomorrow"}]}`: "shares.overrides[0].until",
		`{"overrides":[{"workspace":"a"},{"workspace":"a"}]}`:  "shares.overrides[1].workspace",
		`{"overrides":[{"workspace":"a","share":3}]}`:          "shares.overrides[0].share",
		`{"overrides":[{"workspace":"a","weight":"much"}]}`:    "shares.overrides[0].weight",
	} {
		_, err := ParseMesh(withShares(doc))
		var fe *FieldError
		must.True(t, errors.As(err, &fe), must.Sprintf("%s: %v", doc, err))
		must.EqOp(t, field, fe.Field, must.Sprint(doc))
	}
}

// FuzzShares guards against settings that crash the node, or are accepted though a weight is not above 0.
func FuzzShares(f *testing.F) {
	for _, seed := range []string{
		`{"enabled":true}`, `{"overrides":[{"workspace":"a","weight":0}]}`, `{"overrides":[{"workspace":"a","weight":-1}]}`,
		`{"overrides":[{"workspace":"a","weight":NaN}]}`, `{"overrides":[{"workspace":"a","weight":1e999}]}`,
		`{"overrides":[{"workspace":"a","least":2,"most":1}]}`, `{"overrides":[{"workspace":"a","until":"9999-99-99T00:00:00Z"}]}`,
		`{"overrides":null}`, `{"overrides":[null]}`, `{"overrides":[{"workspace":"a","weight":null}]}`,
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, shares string) {
		m, err := ParseMesh(withShares(shares))
		if err != nil {
			return
		}
		for i := range m.Shares.Overrides {
			o := m.Shares.Overrides[i].Override()
			must.NoError(t, o.Validate())
			must.True(t, o.Weight == nil || *o.Weight > 0)
		}
	})
}
