package proxy

import (
	"fmt"
	"net/url"
	"strconv"
	"strings"

	"github.com/galenagrade/galenagrade/internal/routing"
)

// noRateLimit stands for a missing rate limit in the text of a notice.
const noRateLimit = "-"

// encodeNotice returns a notice as text: the ID of the process, its start time, the rate limit and
// whether it is leaving, separated by spaces.
func encodeNotice(n *routing.ProcessNotice) string {
	limit := noRateLimit
	if n.RateLimited {
		limit = strconv.FormatFloat(n.RateLimit, 'g', -1, 64)
	}
	return fmt.Sprintf("%s %d %s %t", url.QueryEscape(n.ID), n.StartedAt, limit, n.Leaving)
}

// decodeNotice parses the text of encodeNotice. It returns nil if the text is empty or invalid.
func decodeNotice(text string) *routing.ProcessNotice {
	if text == "" {
		return nil // most calls have none; strings.Split would allocate
	}
	fields := strings.Split(text, " ")
	if len(fields) != 4 {
		return nil
	}
	var n routing.ProcessNotice
	var err error
	if n.ID, err = url.QueryUnescape(fields[0]); err != nil || n.ID == "" {
		return nil
	}
	if n.StartedAt, err = strconv.ParseInt(fields[1], 10, 64); err != nil {
		return nil
	}
	if n.Leaving, err = strconv.ParseBool(fields[3]); err != nil {
		return nil
	}
	if fields[2] == noRateLimit {
		return &n
	}
	n.RateLimited = true
	if n.RateLimit, err = routing.ParseRateLimit(fields[2]); err != nil {
		return nil
	}
	return &n
}
