package logstore

import "time"

// Paths of the log service.
const (
	PathAppend = "/v1/append"
	PathRead   = "/v1/read"
	PathHead   = "/v1/head"
)

// Bounds that client and stand-in share.
const (
	// MaxRecordBytes bounds the body of one record. The largest is a snapshot;
	// docs/design/configuration.md gives its size at 1,700 services.
	MaxRecordBytes = 2 << 20
	// MaxAppendBytes bounds the document of one append.
	MaxAppendBytes = 4 << 20
	// MaxPageBytes bounds what a client reads as one page.
	MaxPageBytes = 8 << 20
	// MaxPageEntries bounds the entries of one page.
	MaxPageEntries = 4096
	// MaxAppendRecords bounds the records of one append.
	MaxAppendRecords = 1024
	// MaxIDBytes bounds a record ID.
	MaxIDBytes = 128
	// MaxWait bounds how long a read waits at the log's head.
	MaxWait = 30 * time.Second
)

// AppendRequest is the document of PathAppend.
type AppendRequest struct {
	Records []Record `json:"records"`
}

// AppendResponse answers PathAppend.
type AppendResponse struct {
	First int64 `json:"first"`
}

// HeadResponse answers PathHead.
type HeadResponse struct {
	Head   int64 `json:"head"`
	Oldest int64 `json:"oldest"`
}

// ErrorResponse is the document of every failed request.
type ErrorResponse struct {
	Error            string `json:"error"`
	Oldest           int64  `json:"oldest,omitempty"`
	RetryAfterMillis int64  `json:"retry_after_ms,omitempty"`
}
