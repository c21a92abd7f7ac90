package bench

import (
	"syscall"

	"github.com/pkg/errors"
)

// needDescriptors is the number of file descriptors that a run of a full deployment
// needs. The surge on the larger deployment has a peak of 8,177, since this process
// holds both ends of all connections.
const needDescriptors = 10_000

// CheckDescriptors returns an error when the limit of open files is too low for a
// deployment: then the results would reflect the machine's limit instead of the
// policy. The Go runtime raises the soft limit to the hard limit at start.
func CheckDescriptors() error {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return errors.Wrap(err, "read the limit of open files")
	}
	if limit.Cur < needDescriptors {
		return errors.Errorf("limit of open files is %d, must be at least %d: raise it with ulimit -Hn", limit.Cur, needDescriptors)
	}
	return nil
}
