package logstore_test

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/galenagrade/galenagrade/internal/logstore"
	"github.com/galenagrade/galenagrade/internal/standin/logd"
	"github.com/galenagrade/galenagrade/internal/testraw"
)

func newHTTPClient(t *testing.T) (*logd.Server, *logstore.Client, string) {
	t.Helper()
	log := logd.New(logd.Options{Seed: 1})
	srv := httptest.NewUnstartedServer(log.Handler())
	srv.Config.ErrorLog = nil
	srv.Start()
	t.Cleanup(srv.Close)
	return log, logstore.NewClient(srv.URL+"/", logstore.ClientOptions{}), srv.URL
}

// Guards against records, offsets or errors that change between the HTTP client and the log
// service.
func TestClientRoundTrip(t *testing.T) {
	log, c, _ := newHTTPClient(t)
	ctx := t.Context()
	first, err := c.Append(ctx, []logstore.Record{rec("a"), rec("b")})
	must.NoError(t, err)
	must.Eq(t, 0, first)
	page, err := c.Read(ctx, 1, 10, 0)
	must.NoError(t, err)
	must.Len(t, 1, page.Entries)
	must.Eq(t, "b", page.Entries[0].Record.ID)
	must.Eq(t, 2, page.Next)
	log.Truncate(1)
	_, err = c.Read(ctx, 0, 10, 0)
	must.ErrorIs(t, err, logstore.ErrTruncated)
	must.Eq(t, 1, err.(*logstore.TruncatedError).Oldest)
	head, err := c.Head(ctx)
	must.NoError(t, err)
	must.Eq(t, 2, head)
}

// Guards against a failed append being reported as not recorded although it may have taken
// effect. Only a rejection by the log or a refused connection proves that it did not.
func TestFailedAppendIsUncertainUnlessRejected(t *testing.T) {
	log, c, _ := newHTTPClient(t)
	ctx := t.Context()
	log.SetKnobs(logd.Knobs{AcksToLose: 1})
	_, err := c.Append(ctx, []logstore.Record{rec("a")})
	must.ErrorIs(t, err, logstore.ErrUncertain)
	must.Eq(t, 1, log.Appends())
	log.SetKnobs(logd.Knobs{Outage: true})
	_, err = c.Append(ctx, []logstore.Record{rec("b")})
	must.ErrorIs(t, err, logstore.ErrUncertain)
	log.SetKnobs(logd.Knobs{AppendsPerSecond: 1e-6})
	_, err = c.Append(ctx, []logstore.Record{rec("c")})
	must.ErrorIs(t, err, logstore.ErrOverloaded)
	must.Eq(t, 1, log.Appends())
	unreachable := logstore.NewClient("http://127.0.0.1:1", logstore.ClientOptions{})
	_, err = unreachable.Append(ctx, []logstore.Record{rec("d")})
	must.ErrorIs(t, err, logstore.ErrUnavailable)
	must.False(t, isUncertainError(err))
	_, err = c.Append(ctx, nil)
	must.ErrorIs(t, err, logstore.ErrBadRequest)
}

// Guards against replicas that diverge because a malformed page was folded. A proxy between
// node and log can return a page that skips entries, is cut off or is too large.
func TestClientRejectsMalformedPages(t *testing.T) {
	body := ""
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(body))
	}))
	t.Cleanup(srv.Close)
	c := logstore.NewClient(srv.URL, logstore.ClientOptions{})
	for _, body = range []string{
		`{"entries":[{"offset":7,"record":{}}],"next":6}`,
		`{"entries":[{"offset":5,"record":{}}],"next":7}`,
		`{"entries":[`,
		strings.Repeat(" ", logstore.MaxPageBytes+1),
	} {
		_, err := c.Read(t.Context(), 5, 10, 0)
		must.ErrorIs(t, err, logstore.ErrUnavailable)
	}
}

// Guards against a read at the log's head that returns before a record is appended: readers would
// then poll the log.
func TestReadWaitsForAnAppend(t *testing.T) {
	_, c, _ := newHTTPClient(t)
	got := make(chan logstore.Page)
	go func() {
		page, err := c.Read(t.Context(), 0, 10, logstore.MaxWait)
		must.NoError(t, err)
		got <- page
	}()
	_, err := c.Append(t.Context(), []logstore.Record{rec("a")})
	must.NoError(t, err)
	must.Len(t, 1, (<-got).Entries)
}

// Guards against a stand-in log server that ignores the faults set over HTTP, so that a scenario
// would run without them.
func TestKnobsOverHTTP(t *testing.T) {
	log, _, url := newHTTPClient(t)
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPut, url+logd.PathKnobs,
		bytes.NewBufferString(`{"outage":true,"delay_ms":3}`))
	must.NoError(t, err)
	resp, err := http.DefaultClient.Do(req)
	must.NoError(t, err)
	must.NoError(t, resp.Body.Close())
	must.Eq(t, logd.Knobs{Outage: true, DelayMillis: 3}, log.Knobs())
}

// Guards against a reader that cannot resume after its offset expired: the error must contain
// the oldest offset that is still readable.
func TestReadBelowRetentionFails(t *testing.T) {
	now := time.Unix(0, 0)
	log := logd.New(logd.Options{Now: func() time.Time { return now }})
	log.SetKnobs(logd.Knobs{RetentionMillis: 1000})
	for range 3 {
		_, err := log.Append(t.Context(), []logstore.Record{rec("a")})
		must.NoError(t, err)
		now = now.Add(600 * time.Millisecond)
	}
	_, err := log.Read(t.Context(), 0, 10, 0)
	must.ErrorIs(t, err, logstore.ErrTruncated)
	must.Eq(t, 2, err.(*logstore.TruncatedError).Oldest)
}

// Guards against a broken response of the log service that counts as an acknowledgement, a rejection or a page.
func TestBrokenResponsesAreNotBelieved(t *testing.T) {
	responses := testraw.BrokenResponses("", `{"first":0,"head":0,"next":0}`)
	responses["rejection that breaks off"] = "HTTP/1.1 429 Too Many Requests\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\nodd\r\n"
	for name, response := range responses {
		t.Run(name, func(t *testing.T) {
			addr, _ := testraw.Serve(t, func(*http.Request) string { return response })
			c := logstore.NewClient("http://"+addr, logstore.ClientOptions{})
			_, err := c.Append(t.Context(), []logstore.Record{rec("a")})
			must.ErrorIs(t, err, logstore.ErrUncertain)
			_, err = c.Head(t.Context())
			must.ErrorIs(t, err, logstore.ErrUnavailable)
			_, err = c.Read(t.Context(), 0, 1, 0)
			must.ErrorIs(t, err, logstore.ErrUnavailable)
		})
	}
}
