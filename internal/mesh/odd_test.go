package mesh

import (
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/galenagrade/galenagrade/internal/records"
)

// Guards against crash records of another writer that are out of bounds and count all the same.
func TestOddCrashRecordsAreIgnored(t *testing.T) {
	const valid = `{"f":1,"upstream":"n","incarnation":7,"at_ms":1}`
	got, err := decodeCrashRecords(time.Now(), []byte("["+valid+"]"))
	must.NoError(t, err)
	must.Len(t, 1, got)
	for _, odd := range []string{
		strings.Replace(valid, `"n"`, `"n\u0000"`, 1),
		strings.Replace(valid, `7`, `18446744073709551615`, 1),
		strings.Replace(valid, `"at_ms":1`, `"at_ms":-9223372036854775808`, 1),
		strings.Replace(valid, `"f":1`, `"f":1e400`, 1),
		valid + strings.Repeat(","+valid, maxPendingCrashRecords),
		strings.Repeat("[", 100_000),
	} {
		_, err := decodeCrashRecords(time.Now(), []byte("["+odd+"]"))
		must.Error(t, err, must.Sprintf("%.80s", odd))
	}
}

// Guards against a node that reads the same records without end, or none any more, after an odd response of
// another node.
func TestOddBatchesAreIgnored(t *testing.T) {
	const from = 100
	for _, odd := range []records.Batch{{Next: from - 1}, {Next: -1, Snapshot: true}, {Next: from, AgeMillis: 1 << 62}, {Next: from, AgeMillis: -2}} {
		must.Error(t, odd.Validate(from))
	}
	for _, valid := range []records.Batch{{Next: from}, {Next: 3, Snapshot: true}, {Next: from + 1, AgeMillis: -1}} {
		must.NoError(t, valid.Validate(from))
	}
}
