package bench

import "syscall"

const (
	// mostConnsPerHost is what one site opens to one address at most, where
	// the machine's open files allow it.
	mostConnsPerHost = 120
	// leastConnsPerHost still carries the steady load of a deployment.
	leastConnsPerHost = 32
	// descriptorsPerConn is how many descriptors a run needs for each unit of
	// ConnsPerHost. A surge on the larger deployment peaked at 8,177 with 196,
	// so 42 each; the rest is to spare.
	descriptorsPerConn = 70
)

// ConnsPerHost returns how many connections one site opens to one address.
// Every connection has both of its ends in this process; with too few
// descriptors a run would show the machine's limit, not the deployment's.
func ConnsPerHost() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return leastConnsPerHost
	}
	return int(min(mostConnsPerHost, max(leastConnsPerHost, limit.Cur/descriptorsPerConn)))
}
