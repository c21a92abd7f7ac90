package policy

// Value is a literal or, with a leading "$", the name of a parameter.
type Value string

// Behaviour has a Value for each behaviour field of Effective; an empty Value selects the default
// of the field. Fields lists the types, units and bounds.
type Behaviour struct {
	RetryAllowance    Value `json:"retry_allowance,omitempty"`
	RetryRatio        Value `json:"retry_ratio,omitempty"`
	MaxDepth          Value `json:"max_depth,omitempty"`
	DefaultTimeout    Value `json:"default_timeout,omitempty"`
	MaxTimeout        Value `json:"max_timeout,omitempty"`
	DefaultLevel      Value `json:"default_level,omitempty"`
	WorthCritical     Value `json:"worth_critical,omitempty"`
	WorthHigh         Value `json:"worth_high,omitempty"`
	WorthNormal       Value `json:"worth_normal,omitempty"`
	WorthLow          Value `json:"worth_low,omitempty"`
	KeyRequired       Value `json:"key_required,omitempty"`
	AtMostOnce        Value `json:"at_most_once,omitempty"`
	ResendHorizon     Value `json:"resend_horizon,omitempty"`
	KeepAnswers       Value `json:"keep_answers,omitempty"`
	KeepAnswerBytes   Value `json:"keep_answer_bytes,omitempty"`
	MaxBody           Value `json:"max_body,omitempty"`
	IdempotentMethods Value `json:"idempotent_methods,omitempty"`
	QueueLimit        Value `json:"queue_limit,omitempty"`
	SojournTarget     Value `json:"sojourn_target,omitempty"`
	SojournInterval   Value `json:"sojourn_interval,omitempty"`
	MaxWait           Value `json:"max_wait,omitempty"`
	Adapt             Value `json:"adapt,omitempty"`
	SlowStart         Value `json:"slow_start,omitempty"`
	EjectFor          Value `json:"eject_for,omitempty"`
	MaxEjectedShare   Value `json:"max_ejected_share,omitempty"`
	QuarantineFor     Value `json:"quarantine_for,omitempty"`
}
