package server

import (
	"net"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// FuzzAnnouncement decodes bodies that a faulty or hostile process on the VM could PUT. Every
// accepted announcement must be within its bounds.
func FuzzAnnouncement(f *testing.F) {
	for _, seed := range []string{
		`{"service":"letters","address":"127.0.0.1:80","slots":4,"connections":9}`,
		`{"service":"letters","address":"127.0.0.1:80","slots":4}{"slots":9}`,
		`{"service":"letters","address":"127.0.0.1:80","slots":1e9}`, `{"slots":-1}`, `{"color":"red"}`, `[]`, `null`, ``,
		`{"service":"a b\u0000","address":":","slots":1}`, `{"service":"letters","address":"[::1]:99999","slots":1}`,
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, body string) {
		got, err := decodeAnnouncement(strings.NewReader(body))
		if err != nil {
			return
		}
		must.True(t, got.Service != "" && len(got.Service) <= 64)
		must.True(t, got.Slots >= 1 && got.Slots <= maxSlots && got.Connections >= 0 && got.Connections <= maxSlots)
		host, _, err := net.SplitHostPort(got.Address)
		must.NoError(t, err)
		ip, _, _ := strings.Cut(host, "%")
		must.NotNil(t, net.ParseIP(ip), must.Sprint(got.Address))
		must.True(t, validName(got.Service), must.Sprint(got.Service))
	})
}

// validName reports whether callers can send the name in a request.
func validName(s string) bool {
	return !strings.ContainsFunc(s, func(r rune) bool {
		return !(r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || strings.ContainsRune("-_.", r))
	})
}
