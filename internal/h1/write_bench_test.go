package h1

import (
	"bufio"
	"io"
	"net/http"
	"testing"
)

func BenchmarkWriteRequest(b *testing.B) {
	header := http.Header{
		"X-One": {"3e1b.07.5a2.600.0.c9f2a4d1"}, "X-Two": {"9c41d07be2a35f68"}, "Galena-Inner-Call": {"0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"},
		"Galena-Inner-Method": {"GET"}, "Galena-Inner-Target": {"/leny950/2f"}, "Accept": {"*/*"}, "Galena-Inner-Host": {"hulo84.example"}, "Galena-Inner-Config": {"12"},
	}
	r := &Request{Method: http.MethodPost, Target: "/call", Host: "10.0.0.1:8080", Header: header, Body: []byte("some body")}
	w := bufio.NewWriterSize(io.Discard, bufferBytes)
	b.ReportAllocs()
	for b.Loop() {
		if err := writeRequest(w, r); err != nil {
			b.Fatal(err)
		}
	}
}
