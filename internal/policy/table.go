package policy

import (
	"strings"
	"time"

	"github.com/galenagrade/galenagrade/internal/callctx"
)

// fields is the table of all behaviour fields; decoding, bounds, defaults and Diff use it. The
// bounds exclude values with which the layer itself would fail; they do not exclude unsuitable
// values.
var fields = []Field{
	intField("retry_allowance", "retries", "2", "0", "16", "retries of one root request over its whole tree",
		func(b *Behaviour) *Value { return &b.RetryAllowance }, func(e *Effective) *int { return &e.RetryAllowance }),
	floatField("retry_ratio", "share", "0.1", "0", "1", "retries to a destination as a share of its recent successes",
		func(b *Behaviour) *Value { return &b.RetryRatio }, func(e *Effective) *float64 { return &e.RetryRatio }),
	intField("max_depth", "calls", "10", "1", "32", "longest chain of calls",
		func(b *Behaviour) *Value { return &b.MaxDepth }, func(e *Effective) *int { return &e.MaxDepth }),
	durationField("default_timeout", "10s", "10ms", "10m", "time for callers that name none",
		func(b *Behaviour) *Value { return &b.DefaultTimeout }, func(e *Effective) *time.Duration { return &e.DefaultTimeout }),
	durationField("max_timeout", "60s", "10ms", "10m", "longest time a caller may ask for",
		func(b *Behaviour) *Value { return &b.MaxTimeout }, func(e *Effective) *time.Duration { return &e.MaxTimeout }),
	{
		Name: "default_level", Default: "normal", Choices: levelNames(), Help: "level of calls that name none",
		value: func(b *Behaviour) *Value { return &b.DefaultLevel },
		set:   func(e *Effective, s scalar) { e.DefaultLevel = callctx.ParseLevel(s.s) },
		get:   func(e *Effective) scalar { return scalar{s: e.DefaultLevel.String()} },
	},
	worthField("worth_critical", "8", callctx.LevelCritical, func(b *Behaviour) *Value { return &b.WorthCritical }),
	worthField("worth_high", "4", callctx.LevelHigh, func(b *Behaviour) *Value { return &b.WorthHigh }),
	worthField("worth_normal", "2", callctx.LevelNormal, func(b *Behaviour) *Value { return &b.WorthNormal }),
	worthField("worth_low", "1", callctx.LevelLow, func(b *Behaviour) *Value { return &b.WorthLow }),
	boolField("key_required", "true", "refuse a non-idempotent call without Idempotency-Key",
		func(b *Behaviour) *Value { return &b.KeyRequired }, func(e *Effective) *bool { return &e.KeyRequired }),
	{
		Name: "at_most_once", Default: AtMostOnceOwnership, Choices: []string{AtMostOnceClaims, AtMostOnceOwnership},
		Help:  "who decides that a key has not run: a log record for each call, or the key's owner",
		value: func(b *Behaviour) *Value { return &b.AtMostOnce },
		set:   func(e *Effective, s scalar) { e.AtMostOnce = s.s },
		get:   func(e *Effective) scalar { return scalar{s: e.AtMostOnce} },
	},
	durationField("resend_horizon", "10m", "1s", "24h", "how long callers may send a key again",
		func(b *Behaviour) *Value { return &b.ResendHorizon }, func(e *Effective) *time.Duration { return &e.ResendHorizon }),
	durationField("keep_answers", "5m", "0s", "24h", "how long an answer is kept for resends",
		func(b *Behaviour) *Value { return &b.KeepAnswers }, func(e *Effective) *time.Duration { return &e.KeepAnswers }),
	bytesField("keep_answer_bytes", "8388608", "0", "33554432", "memory for kept answers of one service on one node",
		func(b *Behaviour) *Value { return &b.KeepAnswerBytes }, func(e *Effective) *int64 { return &e.KeepAnswerBytes }),
	bytesField("max_body", "1048576", "0", "16777216", "largest body held for a retry",
		func(b *Behaviour) *Value { return &b.MaxBody }, func(e *Effective) *int64 { return &e.MaxBody }),
	{
		Name: "idempotent_methods", Default: "GET,HEAD,OPTIONS", List: true,
		Choices: []string{"GET", "HEAD", "OPTIONS", "PUT", "DELETE", "POST", "PATCH"},
		Help:    "methods whose calls may run twice",
		value:   func(b *Behaviour) *Value { return &b.IdempotentMethods },
		set:     func(e *Effective, s scalar) { e.IdempotentMethods = strings.Split(s.s, ",") },
		get:     func(e *Effective) scalar { return scalar{s: joinList(e.IdempotentMethods)} },
	},
	intField("queue_limit", "calls", "64", "0", "4096", "calls that wait at one guard",
		func(b *Behaviour) *Value { return &b.QueueLimit }, func(e *Effective) *int { return &e.QueueLimit }),
	durationField("sojourn_target", "20ms", "1ms", "10s", "wait that a queue should come back below",
		func(b *Behaviour) *Value { return &b.SojournTarget }, func(e *Effective) *time.Duration { return &e.SojournTarget }),
	durationField("sojourn_interval", "100ms", "1ms", "60s", "how long the target may be missed before shedding",
		func(b *Behaviour) *Value { return &b.SojournInterval }, func(e *Effective) *time.Duration { return &e.SojournInterval }),
	durationField("max_wait", "1s", "1ms", "60s", "longest wait in a queue",
		func(b *Behaviour) *Value { return &b.MaxWait }, func(e *Effective) *time.Duration { return &e.MaxWait }),
	boolField("adapt", "true", "let the concurrency limit follow measured latency",
		func(b *Behaviour) *Value { return &b.Adapt }, func(e *Effective) *bool { return &e.Adapt }),
	durationField("slow_start", "10s", "0s", "10m", "time in which a cold upstream comes to its full share",
		func(b *Behaviour) *Value { return &b.SlowStart }, func(e *Effective) *time.Duration { return &e.SlowStart }),
	durationField("eject_for", "5s", "100ms", "10m", "first time out of an upstream that fails",
		func(b *Behaviour) *Value { return &b.EjectFor }, func(e *Effective) *time.Duration { return &e.EjectFor }),
	floatField("max_ejected_share", "share", "0.34", "0", "0.9", "largest share of a service that may be out at once",
		func(b *Behaviour) *Value { return &b.MaxEjectedShare }, func(e *Effective) *float64 { return &e.MaxEjectedShare }),
	durationField("quarantine_for", "60s", "1s", "1h", "how long a request that crashes upstreams is refused",
		func(b *Behaviour) *Value { return &b.QuarantineFor }, func(e *Effective) *time.Duration { return &e.QuarantineFor }),
}

func worthField(name, def string, l callctx.Level, value func(*Behaviour) *Value) Field {
	return floatField(name, "worth", def, "0", "1000", "worth of one whole answer at this level",
		value, func(e *Effective) *float64 { return &e.Worth[l] })
}
