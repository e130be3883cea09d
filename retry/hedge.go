package retry

// HedgeRequest describes the call that a hedge, a second parallel attempt, would repeat.
type HedgeRequest struct {
	// Organisation is the caller's organisation, whose retry budget the hedge uses.
	Organisation string
	// Service is the plain service.
	Service string
	// Idempotent means that the call may be repeated.
	Idempotent bool
	// Ratio is the configured retry budget, in retries per first attempt.
	Ratio float64
}

// Hedge reports whether a slow call may be sent a second time in parallel. Calls
// that are not idempotent are never hedged, because both copies would run. A hedge
// counts against the retry budget like a retry but cannot use the reserve, so that
// hedges neither add to an overload nor use up retries that failures may need.
func (p *Policy) Hedge(request HedgeRequest) bool {
	if !request.Idempotent {
		p.decisions.WithLabelValues(decisionHedgeDenied).Inc()
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.config.Now()
	state := p.serviceState(request.Service, now)
	if !state.effect.retriesHelp() || !p.spend(p.organisationBudget(request.Organisation, request.Service, now), state, request.Ratio, 0) {
		p.decisions.WithLabelValues(decisionHedgeDenied).Inc()
		return false
	}
	p.decisions.WithLabelValues(decisionHedged).Inc()
	return true
}
