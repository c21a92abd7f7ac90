package node

import (
	"maps"
	"time"

	"github.com/galenagrade/galenagrade/internal/admission"
	"github.com/galenagrade/galenagrade/internal/policy"
	"github.com/galenagrade/galenagrade/internal/retry"
	"github.com/galenagrade/galenagrade/internal/routing"
)

// instancesOf returns the effective settings of a service in every workspace, ordered by
// workspace. Workspaces that share a service share its upstreams.
func instancesOf(s *policy.State, service string) []*policy.Effective {
	var out []*policy.Effective
	for _, i := range s.Instances() {
		if i.Service != service {
			continue
		}
		if eff, ok := s.Lookup(i.Workspace, i.Service); ok {
			out = append(out, eff)
		}
	}
	return out
}

// instanceFor returns the effective settings of a service for values that all its workspaces
// share, such as the limits of a guard. The first workspace in order decides.
func instanceFor(s *policy.State, service string) (*policy.Effective, bool) {
	all := instancesOf(s, service)
	if len(all) == 0 {
		return nil, false
	}
	return all[0], true
}

// reconfigure applies the changes of a new configuration.
func (n *Node) reconfigure(now time.Time) {
	n.dropChangedThrottles()
	if !maps.Equal(n.overrides, routingOverrides(n.policy.Load())) {
		n.buildTable(now)
	}
	service := n.service.Load()
	if service == nil {
		return
	}
	n.guard.reconfigureWith(now, func(slots int) admission.Config {
		return n.admissionConfig(*service, slots)
	})
	n.configureRetention()
}

// configureRetention sets how long the guard retains keys, responses and crash records. The
// longest horizon of all workspaces applies: a key that expires before its caller stops
// resending it would run a second time.
func (n *Node) configureRetention() {
	service := n.service.Load()
	if service == nil {
		return
	}
	all := instancesOf(n.policy.Load(), *service)
	if len(all) == 0 {
		return
	}
	keys, crashes := n.cfg.Guard.Keys, n.cfg.Guard.Quarantine
	keys.KeepKeys, keys.KeepAnswers = 0, 0
	for _, eff := range all {
		keys.KeepAnswers = max(keys.KeepAnswers, eff.KeepAnswers)
		keys.KeepKeys = max(keys.KeepKeys, eff.ResendHorizon, eff.KeepAnswers)
		if eff.KeepAnswerBytes > 0 {
			keys.MaxBytes = min(n.cfg.Guard.Keys.MaxBytes, eff.KeepAnswerBytes)
		}
		if eff.QuarantineFor > 0 {
			crashes.QuarantineFor = eff.QuarantineFor
		}
	}
	n.guard.configureRetention(keys, crashes)
	if n.cfg.Owners != nil {
		n.cfg.Owners.SetResendHorizon(keys.KeepKeys)
	}
}

// dropChangedThrottles removes the throttles whose configuration changed. The others keep their
// state: at the planned size the configuration changes every few seconds, and a throttle that
// is reset each time would never limit retries.
func (n *Node) dropChangedThrottles() {
	n.throttles.Range(func(service, t any) bool {
		if t.(*throttle).cfg != n.throttleConfig(service.(string)) {
			n.throttles.Delete(service)
		}
		return true
	})
}

// throttle is the retry throttle of a service with the configuration it was created from.
type throttle struct {
	*retry.Throttle
	cfg retry.ThrottleConfig
}

func (n *Node) throttleConfig(service string) retry.ThrottleConfig {
	cfg := n.cfg.Throttle
	if eff, ok := instanceFor(n.policy.Load(), service); ok && eff.RetryRatio > 0 {
		cfg.TokenRatio = eff.RetryRatio
	}
	return cfg
}

// routingOverrides returns the routing settings of each service's template, by service.
func routingOverrides(s *policy.State) map[string]routing.Override {
	out := make(map[string]routing.Override)
	for _, i := range s.Instances() {
		if _, known := out[i.Service]; known {
			continue
		}
		if eff, ok := s.Lookup(i.Workspace, i.Service); ok {
			out[i.Service] = routing.Override{SlowStart: eff.SlowStart, EjectFor: eff.EjectFor, MaxEjectedShare: eff.MaxEjectedShare}
		}
	}
	return out
}
