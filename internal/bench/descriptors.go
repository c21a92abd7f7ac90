package bench

import (
	"syscall"

	"github.com/pkg/errors"
)

// needDescriptors is what a run of a full deployment needs: a surge on the
// larger one had 8,177 open at its peak. All connections have both of their
// ends in this process.
const needDescriptors = 10_000

// CheckDescriptors fails where a deployment would run out of open files: its
// figures would show the machine's limit, not the policy's. The language's
// runtime has raised the limit to the hard one.
func CheckDescriptors() error {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return errors.Wrap(err, "limit of open files")
	}
	if limit.Cur < needDescriptors {
		return errors.Errorf("limit of open files is %d, must be at least %d: raise it with ulimit -Hn", limit.Cur, needDescriptors)
	}
	return nil
}
