package canary

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"time"

	"zinniamast"
	"zinniamast/blackboard"
)

// Lease grants the right to lead.
type Lease interface {
	// Check returns the fencing number if this node holds the lease for at least need.
	Check(need time.Duration) (uint64, error)
}

// LeaderConfig configures a Leader.
type LeaderConfig struct {
	Canary    *Canary
	Upstreams *blackboard.Upstreams
	Rollouts  zinniamast.Rollouts
	Lease     Lease
	// Node is this instance's name.
	Node string
	// FailureDomains returns the failure domains in which nodes run.
	FailureDomains func() []string
	// ExposureShare and ExposureSlack bound what a bad version may get of the requests that
	// reach its service during a rollout: that share, and as many more.
	ExposureShare float64
	ExposureSlack float64
	// TrueTime returns true time. If nil, it is Now.
	TrueTime func() time.Time
	// Logger logs the steps. If nil, nothing is logged.
	Logger *slog.Logger
	// Now returns the current time. If nil, it is time.Now.
	Now func() time.Time
}

const (
	// leadInterval is the time between two checks of a rollout.
	leadInterval = 200 * time.Millisecond
	// writeTimeout bounds a call to the platform; the lease must remain valid as long.
	writeTimeout = time.Second
	// finalGrantInterval is how often the end of a rollout is told again, for
	// finalGrantTime.
	finalGrantInterval = 5 * time.Second
	finalGrantTime     = time.Minute
	// recordedExposure is the part of the permitted exposure after which the answers of the
	// new version are recorded again.
	recordedExposure = 0.1
	// usualToldTime is how long a new leader tells the usual rates that an earlier one knew.
	usualToldTime = 8 * time.Second
)

// Leader decides how far each rollout is while this node holds the lease. Each state is
// written under the condition that nobody else has written since, and a new leader writes
// first, so that a late write of an earlier leader has no effect.
type Leader struct {
	config LeaderConfig
	fence  uint64
	// isRead means that the records are those of the platform.
	isRead  bool
	records map[string]zinniamast.RolloutRecord
	led     map[string]*led
}

// led is the state of a rollout that this node leads.
type led struct {
	order    uint64
	deadline time.Time
	within   time.Duration
	stage    stage
	since    time.Time
	step     uint64
	// stageAnswers are the new version's answers until the stage began.
	stageAnswers float64
	// The number of all answers, and when it last rose; firstAt is when there were none.
	allAnswers float64
	answeredAt time.Time
	firstAt    time.Time
	toldAt     time.Time
	endedAt    time.Time
	isLate     bool
	// inheritedAnswers are the answers that an earlier leader knew, and ownBefore those that
	// this node knew then. wasTrusted reports whether they spoke for the version; it counts
	// until enough is known since.
	inheritedAnswers float64
	ownBefore        float64
	wasTrusted       bool
	// inheritedUsual are the usual rates that an earlier leader knew.
	inheritedUsual []zinniamast.RouteFailures
}

// NewLeader returns a leader; Run starts it.
func NewLeader(config LeaderConfig) *Leader {
	if config.Now == nil {
		config.Now = time.Now
	}
	if config.TrueTime == nil {
		config.TrueTime = config.Now
	}
	if config.Logger == nil {
		config.Logger = slog.New(slog.DiscardHandler)
	}
	return &Leader{
		config:  config,
		records: map[string]zinniamast.RolloutRecord{},
		led:     map[string]*led{},
	}
}

// Run leads rollouts until ctx ends.
func (l *Leader) Run(ctx context.Context) {
	ticker := time.NewTicker(leadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			l.Step(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// Step checks each rollout once. It does nothing without the lease.
func (l *Leader) Step(ctx context.Context) {
	fence, err := l.config.Lease.Check(writeTimeout)
	if err != nil {
		return
	}
	if fence != l.fence {
		l.fence, l.isRead = fence, false
		clear(l.led)
	}
	orders := l.config.Canary.Orders()
	if len(orders) == 0 || !l.read(ctx) {
		return
	}
	for _, order := range orders {
		l.lead(ctx, order)
	}
}

// read reads the records once, and again after a write whose outcome is not known.
func (l *Leader) read(ctx context.Context) bool {
	if l.isRead {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	records, err := l.config.Rollouts.ReadRollouts(ctx)
	if err != nil {
		l.config.Logger.Debug("failed to read the records of rollouts", "cause", err)
		return false
	}
	clear(l.records)
	for _, record := range records {
		l.records[record.Service] = record
		l.config.Canary.Restore(record)
	}
	l.isRead = true
	return true
}

// lead takes the next step of one rollout, if there is one.
func (l *Leader) lead(ctx context.Context, order zinniamast.RolloutOrder) {
	record := l.records[order.Service]
	state := l.state(order, record)
	switch {
	case order.Revision > record.Order:
		if next, ok := l.begin(order, record); ok {
			l.write(ctx, state, next)
		}
	case record.State.IsFinal():
		l.tellEnd(state, record)
	case l.isCondemned(record):
		record.State = zinniamast.RolloutRolledBack
		record.Condemned = appendVersion(record.Condemned, record.Version)
		l.write(ctx, state, record)
	case record.Leader != l.config.Node || record.Fence != l.fence:
		l.write(ctx, state, record)
	default:
		l.advance(ctx, state, record)
	}
}

// isCondemned reports whether a node has condemned the version of a rollout. A node that has
// condemned it before it heard of the seal sends requests to old replicas.
func (l *Leader) isCondemned(record zinniamast.RolloutRecord) bool {
	status := l.config.Canary.Status(record.Service, nil)
	return status.IsCondemned || status.Standing.Refusing > 0
}

// state returns the state of a rollout, anew for a new order.
func (l *Leader) state(order zinniamast.RolloutOrder, record zinniamast.RolloutRecord) *led {
	state, ok := l.led[order.Service]
	if ok && state.order == order.Revision {
		return state
	}
	now := l.config.Now()
	state = &led{
		order:      order.Revision,
		deadline:   now.Add(order.Within),
		within:     order.Within,
		since:      now,
		firstAt:    now,
		answeredAt: now,
	}
	if record.Order == order.Revision {
		state.deadline = state.deadline.Add(-max(0, l.config.TrueTime().Sub(record.Started)))
		l.takeOver(state, order, record)
	}
	l.led[order.Service] = state
	return state
}

// takeOver goes on from the grants of an earlier leader, as far as this node has heard.
func (l *Leader) takeOver(state *led, order zinniamast.RolloutOrder, record zinniamast.RolloutRecord) {
	status := l.config.Canary.Status(order.Service, nil)
	grant := status.Grant
	state.inheritedAnswers, state.ownBefore = record.Answers, status.OwnAnswers
	state.wasTrusted, state.inheritedUsual = record.IsTrusted, record.Usual
	if grant.Order != order.Revision || grant.State.IsFinal() {
		return
	}
	state.inheritedAnswers = max(state.inheritedAnswers, grant.Answers)
	state.wasTrusted = state.wasTrusted || grant.IsTrusted
	switch {
	case grant.IsSealed:
		state.stage = stageSealed
	case grant.Share >= 1:
		state.stage = stageWhole
	case grant.Share >= 0.5 && grant.IsTrusted:
		state.stage = stageHalf
	case grant.Share >= 0.25 && grant.IsTrusted:
		state.stage = stageQuarter
	case grant.Share > 0:
		state.stage = stageTrial
	default:
		return
	}
	// The stage goes on where the earlier leader left it.
	state.since = state.since.Add(-minTrial)
}

// maxBarredVersions bounds the versions that a record names.
const maxBarredVersions = 8

// appendVersion adds a version to a list, of which only the newest are kept.
func appendVersion(list []string, version string) []string {
	list = append(slices.DeleteFunc(slices.Clone(list), func(v string) bool { return v == version }), version)
	return list[max(0, len(list)-maxBarredVersions):]
}

// begin returns the record of a new order; false if it needs none.
func (l *Leader) begin(order zinniamast.RolloutOrder, record zinniamast.RolloutRecord) (zinniamast.RolloutRecord, bool) {
	wasMoving := record.Order > 0 && !record.State.IsFinal()
	next := record
	next.Service, next.Order = order.Service, order.Revision
	if order.IsWithdrawn {
		next.State = zinniamast.RolloutRolledBack
		next.Abandoned = appendVersion(record.Abandoned, record.Version)
		return next, wasMoving
	}
	if wasMoving && record.Version != order.Version {
		next.Abandoned = appendVersion(record.Abandoned, record.Version)
	}
	next.Abandoned = slices.DeleteFunc(slices.Clone(next.Abandoned), func(v string) bool { return v == order.Version })
	next.Version, next.Answers, next.IsTrusted, next.Usual = order.Version, 0, false, nil
	next.Started = l.config.TrueTime()
	next.State = zinniamast.RolloutInProgress
	if slices.Contains(record.Condemned, order.Version) || l.config.Canary.Status(order.Service, nil).IsCondemned {
		next.State = zinniamast.RolloutRolledBack
		next.Condemned = appendVersion(record.Condemned, order.Version)
	}
	return next, true
}

// write writes a record and tells the nodes. If the outcome is not known, the records are
// read again first.
func (l *Leader) write(ctx context.Context, state *led, record zinniamast.RolloutRecord) {
	// A write that was sent is awaited even while the node stops, since the lease is released
	// afterwards.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), writeTimeout)
	defer cancel()
	record.Leader, record.Fence = l.config.Node, l.fence
	status := l.config.Canary.Status(record.Service, nil)
	isTold := len(state.inheritedUsual) == 0 || l.config.Now().Sub(state.firstAt) > usualToldTime
	if len(status.Usual) > 0 && record.Order == state.order && isTold {
		record.Usual = status.Usual
	}
	revision, err := l.config.Rollouts.WriteRollout(ctx, record)
	l.config.Logger.Info("rollout state written", "service", record.Service, "version", record.Version, "state", record.State, "order", record.Order,
		"stage", state.stage, status.evidence(), "cause", err)
	if err != nil {
		if !errors.Is(err, zinniamast.ErrThrottled) && !errors.Is(err, zinniamast.ErrUnavailable) {
			l.isRead = false
		}
		return
	}
	record.Revision = revision
	l.records[record.Service] = record
	if record.State.IsFinal() {
		state.endedAt = l.config.Now()
	}
	l.tell(state, record, l.situation(state, record))
}

// advance takes a rollout to its next stage, and repeats the grant.
func (l *Leader) advance(ctx context.Context, state *led, record zinniamast.RolloutRecord) {
	s := l.situation(state, record)
	if !state.isLate && s.now.After(state.deadline) {
		state.isLate = true
		l.config.Logger.Warn("rollout is late", "service", record.Service, "version", record.Version, "stage", state.stage,
			"running_on_old", s.status.Standing.Running, "settled", s.status.Standing.Settled, "nodes", s.status.Standing.Nodes, "unheard", s.status.Unheard,
			s.status.evidence(), "new_replicas", s.newReady, "old_replicas", s.oldReady)
	}
	if s.hasFailedTrial() {
		record.State = zinniamast.RolloutRolledBack
		record.Abandoned = appendVersion(record.Abandoned, record.Version)
		l.write(ctx, state, record)
		return
	}
	if s.stage == stageTrial && s.answers-record.Answers >= recordedExposure*s.exposure() {
		// A leader that starts after the loss of all nodes knows what was spent.
		record.Answers, record.IsTrusted = s.answers, s.isTrusted
		l.write(ctx, state, record)
		return
	}
	if s.stage < stageWhole && s.mustBeRecorded(&record) {
		record.IsTrusted = s.isTrusted
		l.write(ctx, state, record)
		return
	}
	next := s.next()
	if next == stageDone {
		record.State = zinniamast.RolloutCompleted
		l.write(ctx, state, record)
		return
	}
	if next != state.stage {
		if record.IsTrusted != s.isTrusted {
			// A leader that starts after the loss of all nodes goes on with it.
			record.IsTrusted = s.isTrusted
			l.write(ctx, state, record)
			record = l.records[record.Service]
		}
		l.config.Logger.Info("rollout stage", "service", record.Service, "version", record.Version, "from", state.stage, "to", next,
			s.status.evidence(), "running_on_old", s.status.Standing.Running,
			"new_replicas", s.newReady, "old_replicas", s.oldReady, "left", state.deadline.Sub(s.now).Round(time.Millisecond))
		state.stage, state.since, state.stageAnswers = next, s.now, s.answers
		s.stage, s.since = next, s.now
	} else if s.now.Sub(state.toldAt) < grantInterval {
		return
	}
	l.tell(state, record, s)
}

// situation collects what the next stage depends on.
func (l *Leader) situation(state *led, record zinniamast.RolloutRecord) *situation {
	now := l.config.Now()
	s := &situation{
		now:           now,
		deadline:      state.deadline,
		stage:         state.stage,
		since:         state.since,
		answersBefore: state.stageAnswers,
		status:        l.config.Canary.Status(record.Service, l.config.FailureDomains()),
		within:        state.within,
		exposureShare: l.config.ExposureShare,
		exposureSlack: l.config.ExposureSlack,
	}
	s.answers = state.answers(&s.status, now)
	if s.status.Doubts.isTrusted() || s.status.Doubts.isDoubted() || s.status.Renewals > 0 {
		state.wasTrusted = false
	}
	s.isTrusted = s.status.Doubts.isTrusted() || state.wasTrusted
	for _, u := range l.config.Upstreams.Of(record.Service) {
		switch {
		case u.Leaving():
		case u.Instance.Version == record.Version:
			s.newReady++
		default:
			s.oldReady++
		}
	}
	if s.status.AllAnswers > state.allAnswers {
		state.allAnswers, state.answeredAt = s.status.AllAnswers, now
	}
	s.idleFor = now.Sub(state.answeredAt)
	s.rate = s.status.Rate
	return s
}

const (
	// handoverTime is the time after a takeover in which the counts of the other nodes arrive.
	// If they hold handedOver of what the earlier leader knew, nothing was lost.
	handoverTime = 1500 * time.Millisecond
	handedOver   = 0.8
)

// answers returns the number of the new version's answers, those before a takeover included.
func (l *led) answers(status *Status, now time.Time) float64 {
	if now.Sub(l.firstAt) <= handoverTime && status.Answers >= handedOver*l.inheritedAnswers {
		// Beside failing old replicas, the finding says whether the version is trusted.
		l.inheritedAnswers, l.wasTrusted = 0, l.wasTrusted && !status.IsDisturbed
	}
	if l.inheritedAnswers == 0 {
		return status.Answers
	}
	return max(status.Answers, l.inheritedAnswers+status.OwnAnswers-l.ownBefore)
}

// tell grants what a stage allows.
func (l *Leader) tell(state *led, record zinniamast.RolloutRecord, s *situation) {
	state.step++
	state.toldAt = s.now
	var usual []zinniamast.RouteFailures
	if s.now.Sub(state.firstAt) <= usualToldTime {
		usual = state.inheritedUsual
	}
	l.config.Canary.Publish(Grant{
		Service:   record.Service,
		Version:   record.Version,
		Order:     record.Order,
		Fence:     l.fence,
		Step:      state.step,
		Share:     s.share(state.stage),
		Replicas:  s.replicas(state.stage),
		Turn:      int(s.now.Sub(state.firstAt) / trialTurn),
		Answers:   s.answers,
		IsTrusted: s.isTrusted,
		Usual:     usual,
		IsSealed:  state.stage >= stageSealed,
		State:     record.State,
		Condemned: record.Condemned,
		Abandoned: record.Abandoned,
	})
}

// tellEnd repeats the end of a rollout for nodes that have not heard of it.
func (l *Leader) tellEnd(state *led, record zinniamast.RolloutRecord) {
	now := l.config.Now()
	if state.endedAt.IsZero() {
		state.endedAt = now
	}
	if now.Sub(state.endedAt) > finalGrantTime || now.Sub(state.toldAt) < finalGrantInterval {
		return
	}
	l.tell(state, record, l.situation(state, record))
}
