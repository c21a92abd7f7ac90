package logstore

import "time"

// HTTP paths of the log service.
const (
	PathAppend = "/v1/append"
	PathRead   = "/v1/read"
	PathHead   = "/v1/head"
)

// Limits that the client and the stand-in log server both enforce.
const (
	// MaxRecordBytes limits the body of one record. The largest record is a snapshot;
	// docs/design/configuration.md gives its size at 1,700 services.
	MaxRecordBytes = 2 << 20
	// MaxAppendBytes limits the JSON document of one append.
	MaxAppendBytes = 4 << 20
	// MaxPageBytes limits the response body that a client accepts for one read.
	MaxPageBytes = 8 << 20
	// MaxPageEntries limits the number of entries in one page.
	MaxPageEntries = 4096
	// MaxAppendRecords limits the number of records in one append.
	MaxAppendRecords = 1024
	// MaxIDBytes limits the length of a record ID.
	MaxIDBytes = 128
	// MaxWait limits how long a read waits at the log's head for a new entry.
	MaxWait = 30 * time.Second
)

// AppendRequest is the request body of PathAppend.
type AppendRequest struct {
	Records []Record `json:"records"`
}

// AppendResponse is the response body of PathAppend. First is the offset of the first record.
type AppendResponse struct {
	First int64 `json:"first"`
}

// HeadResponse is the response body of PathHead. Head is the offset that the next append
// gets; Oldest is the first offset that has not expired.
type HeadResponse struct {
	Head   int64 `json:"head"`
	Oldest int64 `json:"oldest"`
}

// ErrorResponse is the response body of every failed request. Oldest is set when the
// requested offset has expired, RetryAfterMillis when the log rejects an append for its rate.
type ErrorResponse struct {
	Error            string `json:"error"`
	Oldest           int64  `json:"oldest,omitempty"`
	RetryAfterMillis int64  `json:"retry_after_ms,omitempty"`
}
