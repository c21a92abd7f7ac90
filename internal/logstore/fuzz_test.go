package logstore_test

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/galenagrade/galenagrade/internal/logstore"
	"github.com/galenagrade/galenagrade/internal/standin/logd"
)

// staticTransport is an http.RoundTripper that returns the same body for every request.
type staticTransport []byte

func (a staticTransport) RoundTrip(*http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(bytes.NewReader(a))}, nil
}

// FuzzPage guards against malformed pages that reach the folds: the client must return an
// error or entries that are contiguous from the requested offset.
func FuzzPage(f *testing.F) {
	good, err := json.Marshal(logstore.Page{Entries: []logstore.Entry{{Offset: 5, Record: rec("a")}}, Next: 6, Head: 9})
	must.NoError(f, err)
	f.Add(good)
	f.Add([]byte(`{"entries":[{"offset":5},{"offset":5}],"next":7}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		c := logstore.NewClient("http://log", logstore.ClientOptions{HTTP: &http.Client{Transport: staticTransport(data)}})
		page, err := c.Read(t.Context(), 5, 10, 0)
		if err != nil {
			must.ErrorIs(t, err, logstore.ErrUnavailable)
			return
		}
		must.Eq(t, 5+int64(len(page.Entries)), page.Next)
		for i, e := range page.Entries {
			must.Eq(t, 5+int64(i), e.Offset)
		}
	})
}

// FuzzAppend guards against malformed documents that the stand-in log server accepts: every
// accepted document must read back as valid records.
func FuzzAppend(f *testing.F) {
	good, err := json.Marshal(logstore.AppendRequest{Records: []logstore.Record{rec("a"), rec("b")}})
	must.NoError(f, err)
	f.Add(good)
	f.Add([]byte(`{"records":[{"id":""}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		log := logd.New(logd.Options{})
		w := httptest.NewRecorder()
		log.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodPost, logstore.PathAppend, bytes.NewReader(data)))
		page, err := log.Read(t.Context(), 0, logstore.MaxPageEntries, 0)
		must.NoError(t, err)
		must.Eq(t, w.Code == http.StatusOK, len(page.Entries) > 0)
		if w.Code != http.StatusOK {
			must.Eq(t, http.StatusBadRequest, w.Code)
			return
		}
		records := make([]logstore.Record, len(page.Entries))
		for i := range page.Entries {
			records[i] = page.Entries[i].Record
		}
		must.NoError(t, logstore.CheckRecords(records))
	})
}
