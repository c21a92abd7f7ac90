package room

import (
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// Names of the parameters of a request.
const (
	paramKind       = "kind"
	paramRank       = "rank"
	paramObjective  = "objective_ms"
	paramRepeatable = "repeatable"
	// paramShare is GrantedShare in thousandths; it is missing if that isn't known.
	paramShare = "share_milli"
)

const (
	// maxObjective bounds the objective in a request, and maxRetryAfter the delay in an answer.
	maxObjective  = 10 * time.Minute
	maxRetryAfter = 10 * time.Minute
	// maxAnswerBytes bounds an answer.
	maxAnswerBytes = 1 << 10
)

// Encode returns the request as the query of a URL. Single calls are not sent: the guard that runs them
// decides.
func (r *Request) Encode() string {
	query := fmt.Sprintf("%s=%d&%s=%d&%s=%d", paramKind, r.Kind, paramRank, r.Rank, paramObjective, r.Objective.Milliseconds())
	if r.Repeatable {
		query += "&" + paramRepeatable + "=1"
	}
	if r.GrantedShare >= 0 {
		query += fmt.Sprintf("&%s=%d", paramShare, int(min(r.GrantedShare, 1)*1000))
	}
	return query
}

// DecodeRequest reads a request from the parameters of a URL, of which get returns the value. An error
// names the parameter, its value and the bound.
func DecodeRequest(get func(name string) string) (*Request, error) {
	kind, err := strconv.ParseUint(get(paramKind), 10, 32)
	if err != nil || kind == 0 {
		return nil, errors.Errorf("room: %s is %.32q, want 1 to 4294967295", paramKind, get(paramKind))
	}
	rank, err := strconv.ParseUint(get(paramRank), 10, 32)
	if err != nil {
		return nil, errors.Errorf("room: %s is %.32q, want 0 to 4294967295", paramRank, get(paramRank))
	}
	millis, err := strconv.ParseInt(get(paramObjective), 10, 64)
	if err != nil || millis < 0 || millis > maxObjective.Milliseconds() {
		return nil, errors.Errorf("room: %s is %.32q, want 0 to %d", paramObjective, get(paramObjective), maxObjective.Milliseconds())
	}
	share := -1.0
	if text := get(paramShare); text != "" {
		milli, err := strconv.ParseUint(text, 10, 32)
		if err != nil || milli > 1000 {
			return nil, errors.Errorf("room: %s is %.32q, want 0 to 1000", paramShare, text)
		}
		share = float64(milli) / 1000
	}
	return &Request{Kind: uint32(kind), Rank: uint32(rank), Objective: time.Duration(millis) * time.Millisecond, GrantedShare: share, Repeatable: get(paramRepeatable) != ""}, nil
}

// answerMessage is the JSON form of an Answer.
type answerMessage struct {
	Granted     bool   `json:"granted,omitempty"`
	Reason      Reason `json:"reason,omitempty"`
	RetryMillis int64  `json:"retry_ms,omitempty"`
	Threshold   uint32 `json:"threshold"`
	Tight       bool   `json:"tight,omitempty"`
}

// MarshalJSON implements json.Marshaler.
func (a Answer) MarshalJSON() ([]byte, error) {
	return json.Marshal(answerMessage{Granted: a.Granted, Reason: a.Reason, RetryMillis: a.RetryAfter.Milliseconds(), Threshold: a.Threshold, Tight: a.Tight})
}

// DecodeAnswer parses an answer.
func DecodeAnswer(body []byte) (*Answer, error) {
	if len(body) > maxAnswerBytes {
		return nil, errors.Errorf("room: answer has %d bytes, limit is %d", len(body), maxAnswerBytes)
	}
	var m answerMessage
	if err := json.Unmarshal(body, &m); err != nil {
		return nil, errors.Wrap(err, "room: decode answer")
	}
	if m.RetryMillis < 0 || m.RetryMillis > maxRetryAfter.Milliseconds() {
		return nil, errors.Errorf("room: retry_ms is %d, want 0 to %d", m.RetryMillis, maxRetryAfter.Milliseconds())
	}
	switch m.Reason {
	case ReasonRank, ReasonNoRoom, ReasonTreesFail:
		if m.Granted {
			return nil, errors.Errorf("room: reason is %q, want none with a grant", m.Reason)
		}
	case "":
		if !m.Granted {
			return nil, errors.New("room: reason is empty, want one with a refusal")
		}
	default:
		return nil, errors.Errorf("room: reason is %.32q, want %s, %s or %s", string(m.Reason), ReasonRank, ReasonNoRoom, ReasonTreesFail)
	}
	return &Answer{Granted: m.Granted, Reason: m.Reason, RetryAfter: time.Duration(m.RetryMillis) * time.Millisecond, Threshold: m.Threshold, Tight: m.Tight}, nil
}
