package logstore

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/galenagrade/galenagrade/internal/conns"
	"github.com/galenagrade/galenagrade/internal/httphead"
)

// ClientOptions configures a Client; the zero value is usable.
type ClientOptions struct {
	// HTTP sends the requests; nil creates a client with bounded timeouts.
	HTTP *http.Client
	// Timeout limits each request; the wait of a read is added to it. 0 means 5 s.
	Timeout time.Duration
}

const (
	defaultTimeout = 5 * time.Second
	// maxErrorBytes limits the response body of a failed request.
	maxErrorBytes = 4 << 10
	// maxSmallResponseBytes limits the response bodies of append and head.
	maxSmallResponseBytes = 4 << 10
)

// Client accesses the log service over HTTP. It does not retry: the Appender and the readers
// retry with their own backoff.
type Client struct {
	base    string
	http    *http.Client
	timeout time.Duration
}

var _ Log = (*Client)(nil)

// NewClient returns a client of the log service at baseURL.
func NewClient(baseURL string, opts ClientOptions) *Client {
	c := &Client{
		base:    strings.TrimRight(baseURL, "/"),
		http:    opts.HTTP,
		timeout: opts.Timeout,
	}
	if c.timeout <= 0 {
		c.timeout = defaultTimeout
	}
	if c.http == nil {
		c.http = &http.Client{Transport: httphead.NewTransport(&http.Transport{
			DialContext:         conns.ReportResets((&net.Dialer{Timeout: time.Second}).DialContext),
			MaxIdleConnsPerHost: 4,
			IdleConnTimeout:     30 * time.Second,
		})}
	}
	return c
}

// Append implements Log.
func (c *Client) Append(ctx context.Context, records []Record) (int64, error) {
	if err := CheckRecords(records); err != nil {
		return 0, err
	}
	body, err := json.Marshal(AppendRequest{Records: records})
	if err != nil {
		return 0, fmt.Errorf("%w: %v", ErrBadRequest, err)
	}
	var out AppendResponse
	err = c.do(ctx, c.timeout, http.MethodPost, PathAppend, body, maxSmallResponseBytes, &out)
	if err != nil {
		return 0, classifyAppendError(err)
	}
	return out.First, nil
}

// Read implements Log.
func (c *Client) Read(ctx context.Context, from int64, max int, wait time.Duration) (Page, error) {
	wait = min(wait, MaxWait)
	q := url.Values{
		"from":    {strconv.FormatInt(from, 10)},
		"max":     {strconv.Itoa(max)},
		"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	var page Page
	err := c.do(ctx, c.timeout+wait, http.MethodGet, PathRead+"?"+q.Encode(), nil, MaxPageBytes, &page)
	if err != nil {
		return Page{}, classifyReadError(err, from)
	}
	return page, checkPage(page, from)
}

// Head implements Log.
func (c *Client) Head(ctx context.Context) (int64, error) {
	var out HeadResponse
	err := c.do(ctx, c.timeout, http.MethodGet, PathHead, nil, maxSmallResponseBytes, &out)
	if err != nil {
		return 0, classifyReadError(err, 0)
	}
	return out.Head, nil
}

// CheckRecords returns an error for the first limit that an append of records exceeds.
func CheckRecords(records []Record) error {
	if len(records) == 0 || len(records) > MaxAppendRecords {
		return fmt.Errorf("%w: append has %d records, bound 1..%d", ErrBadRequest, len(records), MaxAppendRecords)
	}
	total := 0
	for i := range records {
		r := &records[i]
		if r.ID == "" || len(r.ID) > MaxIDBytes {
			return fmt.Errorf("%w: records[%d].id has %d bytes, bound 1..%d", ErrBadRequest, i, len(r.ID), MaxIDBytes)
		}
		// JSON encoding changes an ID that is not UTF-8, so that Dedup would not recognize a
		// retry of the record.
		if !utf8.ValidString(r.ID) || len(r.Kind) > MaxIDBytes {
			return fmt.Errorf("%w: records[%d].id and kind must be UTF-8 of at most %d bytes", ErrBadRequest, i, MaxIDBytes)
		}
		if len(r.Body) > MaxRecordBytes {
			return fmt.Errorf("%w: records[%d].body has %d bytes, bound %d", ErrBadRequest, i, len(r.Body), MaxRecordBytes)
		}
		total += len(r.Body)
	}
	if total > MaxAppendBytes {
		return fmt.Errorf("%w: records have %d bytes, bound %d", ErrBadRequest, total, MaxAppendBytes)
	}
	return nil
}

// statusError is a response with a status other than 200.
type statusError struct {
	status int
	doc    ErrorResponse
}

// Error implements error.
func (e *statusError) Error() string {
	return fmt.Sprintf("log service returned status %d: %s", e.status, e.doc.Error)
}

func (c *Client) do(ctx context.Context, timeout time.Duration, method, path string, body []byte, limit int64, out any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("%w: %v", ErrBadRequest, err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return decodeFailure(resp)
	}
	return decodeBounded(resp.Body, limit, out)
}

// decodeFailure returns the statusError of a response other than 200. A response whose body breaks off proves
// nothing, not even by its status.
func decodeFailure(resp *http.Response) error {
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	if err != nil {
		return err
	}
	e := &statusError{status: resp.StatusCode}
	_ = json.Unmarshal(data, &e.doc) // optional: callers classify the error by its status
	return e
}

// decodeBounded decodes JSON of at most limit bytes into out.
func decodeBounded(r io.Reader, limit int64, out any) error {
	data, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return err
	}
	if int64(len(data)) > limit {
		return fmt.Errorf("response of the log service exceeds %d bytes", limit)
	}
	return json.Unmarshal(data, out)
}

// classifyAppendError maps the failure of an append to an error that tells whether the append
// may have taken effect. Only two failures prove that it had no effect: the log rejected the
// request, or the connection could not be established. Every other failure is an
// UncertainError.
func classifyAppendError(err error) error {
	var se *statusError
	if errors.As(err, &se) {
		switch se.status {
		case http.StatusTooManyRequests:
			return &OverloadedError{RetryAfter: millis(se.doc.RetryAfterMillis)}
		case http.StatusBadRequest, http.StatusRequestEntityTooLarge:
			return fmt.Errorf("%w: %s", ErrBadRequest, se.doc.Error)
		}
		return &UncertainError{Cause: &UnavailableError{Cause: err}}
	}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return &UnavailableError{Cause: err}
	}
	return &UncertainError{Cause: &UnavailableError{Cause: err}}
}

// classifyReadError maps the failure of a read from offset from to one of the package's errors.
func classifyReadError(err error, from int64) error {
	var se *statusError
	if errors.As(err, &se) {
		switch se.status {
		case http.StatusGone:
			return &TruncatedError{From: from, Oldest: se.doc.Oldest}
		case http.StatusTooManyRequests:
			return &OverloadedError{RetryAfter: millis(se.doc.RetryAfterMillis)}
		case http.StatusBadRequest:
			return fmt.Errorf("%w: %s", ErrBadRequest, se.doc.Error)
		}
	}
	return &UnavailableError{Cause: err}
}

// checkPage returns an error unless the entries are contiguous and begin at offset from.
// Folding any other page would make replicas of the same log diverge.
func checkPage(p Page, from int64) error {
	for i := range p.Entries {
		if p.Entries[i].Offset != from+int64(i) {
			return &UnavailableError{Cause: fmt.Errorf("entry %d of the page has offset %d, want %d", i, p.Entries[i].Offset, from+int64(i))}
		}
	}
	if p.Next != from+int64(len(p.Entries)) {
		return &UnavailableError{Cause: fmt.Errorf("next offset of the page is %d, want %d", p.Next, from+int64(len(p.Entries)))}
	}
	return nil
}

func millis(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }
