// Package h1 sends single requests over kept HTTP/1.1 connections. It differs
// from http.Transport in what an overload control layer has to know: whether a
// request can have reached its server, whose answer came back, and whether the
// connection may carry another request. It never repeats a request by itself.
package h1
