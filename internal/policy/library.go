package policy

// Library returns the ready-made templates. They apply only once an operator publishes them: if
// they were built in, nodes of two releases could fold one log into two configurations.
func Library() []Template {
	return []Template{strict(), balanced(), recoveryFirst()}
}

// common returns the parameters that every ready-made template has.
func common(allowance, timeout, maxTimeout, horizon, keepAnswers, queueLimit string) []Parameter {
	return []Parameter{
		{Name: "retry_allowance", Type: TypeInt, Unit: "retries", Default: allowance, Min: "0", Max: "4",
			Help: "retries of one root request over its whole tree"},
		{Name: "default_timeout", Type: TypeDuration, Unit: "duration", Default: timeout, Min: "50ms", Max: "5m",
			Help: "time for callers that name none"},
		{Name: "max_timeout", Type: TypeDuration, Unit: "duration", Default: maxTimeout, Min: "100ms", Max: "10m",
			Help: "longest time a caller may ask for"},
		{Name: "resend_horizon", Type: TypeDuration, Unit: "duration", Default: horizon, Min: "10s", Max: "24h",
			Help: "how long callers may send a key again"},
		{Name: "keep_answers", Type: TypeDuration, Unit: "duration", Default: keepAnswers, Min: "10s", Max: "24h",
			Help: "how long an answer is kept for resends"},
		{Name: "queue_limit", Type: TypeInt, Unit: "calls", Default: queueLimit, Min: "0", Max: "1024",
			Help: "calls that wait at one guard; about half its slots is usual"},
		{Name: "slow_start", Type: TypeDuration, Unit: "duration", Default: "10s", Min: "0s", Max: "5m",
			Help: "time in which a cold upstream comes to its full share"},
	}
}

func commonBehaviour() Behaviour {
	return Behaviour{
		RetryAllowance: "$retry_allowance",
		DefaultTimeout: "$default_timeout",
		MaxTimeout:     "$max_timeout",
		ResendHorizon:  "$resend_horizon",
		KeepAnswers:    "$keep_answers",
		QueueLimit:     "$queue_limit",
		SlowStart:      "$slow_start",
	}
}

// strict returns the template for services whose calls have external effects, such as letters and
// certificates.
func strict() Template {
	b := commonBehaviour()
	b.KeyRequired = "true"
	b.AtMostOnce = AtMostOnceOwnership
	b.IdempotentMethods = "GET,HEAD,OPTIONS"
	b.RetryRatio = "0.05"
	b.MaxWait = "2s"
	b.SojournTarget = "50ms"
	b.SojournInterval = "200ms"
	return Template{
		Name: "strict", Revision: 1, Behaviour: b,
		Parameters: common("1", "20s", "60s", "30m", "30m", "90"),
		Help:       "calls with effects outside: a key is required, answers are kept long, few retries",
	}
}

// balanced returns the template for the highest goodput: longer queues and more retries while
// there is capacity for them.
func balanced() Template {
	b := commonBehaviour()
	b.KeyRequired = "$key_required"
	b.RetryRatio = "0.1"
	b.MaxWait = "$max_wait"
	b.SojournTarget = "20ms"
	b.SojournInterval = "100ms"
	params := append(common("2", "10s", "30s", "10m", "5m", "64"),
		Parameter{Name: "key_required", Type: TypeBool, Default: "true",
			Help: "refuse a non-idempotent call without Idempotency-Key"},
		Parameter{Name: "max_wait", Type: TypeDuration, Unit: "duration", Default: "1s", Min: "10ms", Max: "10s",
			Help: "longest wait in a queue"})
	return Template{
		Name: "balanced", Revision: 1, Parameters: params, Behaviour: b,
		Help: "highest goodput: moderate queues and retries",
	}
}

// recoveryFirst returns the template for a short recovery time. It sheds work early so that
// queues drain soon after a surge. The worth of a response differs by a large factor between the
// levels: by default 20 at level critical and 1 at level low.
func recoveryFirst() Template {
	b := commonBehaviour()
	b.KeyRequired = "$key_required"
	b.RetryRatio = "0.05"
	b.MaxWait = "$max_wait"
	b.SojournTarget = "5ms"
	b.SojournInterval = "50ms"
	b.EjectFor = "2s"
	b.WorthCritical = "$worth_critical"
	b.WorthHigh = "$worth_high"
	b.WorthNormal = "$worth_normal"
	b.WorthLow = "1"
	params := append(common("1", "3s", "10s", "10m", "5m", "24"),
		Parameter{Name: "key_required", Type: TypeBool, Default: "true",
			Help: "refuse a non-idempotent call without Idempotency-Key"},
		Parameter{Name: "max_wait", Type: TypeDuration, Unit: "duration", Default: "250ms", Min: "5ms", Max: "5s",
			Help: "longest wait in a queue"},
		worthParameter("worth_critical", "20"),
		worthParameter("worth_high", "6"),
		worthParameter("worth_normal", "2"))
	return Template{
		Name: "recovery-first", Revision: 1, Parameters: params, Behaviour: b,
		Help: "shortest recovery time: short queues, one retry, worth by level",
	}
}

func worthParameter(name, def string) Parameter {
	return Parameter{Name: name, Type: TypeFloat, Unit: "worth", Default: def, Min: "1", Max: "1000",
		Help: "worth of one whole answer at this level"}
}
