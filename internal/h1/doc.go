// Package h1 sends single requests over pooled HTTP/1.1 connections. Unlike http.Transport, it
// reports whether a request can have reached its server, checks that a response belongs to the
// request, and tracks whether the connection can be reused. It never retries a request.
package h1
