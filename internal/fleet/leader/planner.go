package leader

import (
	"cmp"
	"slices"
	"time"

	"go.uber.org/zap"

	"jasminelane.example/lane/internal/fleet/delay"
	"jasminelane.example/lane/internal/fleet/ledger"
	"jasminelane.example/lane/internal/fleet/plan"
	"jasminelane.example/lane/internal/fleet/policy"
)

const (
	// planDebounce is the default of Leader.PlanPause.
	planDebounce = 15 * time.Millisecond

	// planPauseFactor limits the share of time spent on planning: the pause
	// after a round is at least this many times as long as the round.
	planPauseFactor = 3

	// maxPlanInterval is how long the planner waits for an event, after the
	// pause, before it starts the next round.
	maxPlanInterval = 250 * time.Millisecond

	// reservationTime is how long resources that were freed for a unit stay
	// reserved for it.
	reservationTime = 2 * time.Second

	// drainExtraTime is how much longer they stay reserved where nothing is
	// stopped and they become free as runs end.
	drainExtraTime = 8 * time.Second

	// dueMarginMs delays the start of a scheduled occurrence, for clocks that
	// are slightly ahead.
	dueMarginMs = 20
)

// reservation is a hold on resources for a unit, with its expiry.
type reservation struct {
	plan.Reservation
	expiresAt time.Time
}

// planLoop runs planning rounds, after events and periodically, until the epoch
// ends.
func (l *Leader) planLoop() {
	for l.ctx.Err() == nil {
		began := time.Now()
		l.plan()
		took := time.Since(began)
		l.countRound(took)
		delay.For(l.ctx, max(cmp.Or(l.PlanPause, planDebounce), planPauseFactor*took))
		t := time.NewTimer(maxPlanInterval)
		select {
		case <-l.planWake:
		case <-t.C:
		case <-l.ctx.Done():
		}
		t.Stop()
	}
}

// plan runs one planning round. Its stops take effect at once. Its starts are
// proposed to the log and requested from the workers once they are applied.
func (l *Leader) plan() {
	cfg := l.Policy.Get()
	if cfg == nil {
		return
	}
	in := l.beginRound(cfg)
	// Deciding holds no lock: with many units it takes long, and heartbeats, reads of
	// the log and answers to callers must not wait for it.
	var out plan.Output
	if len(in.Waiting) > 0 {
		out = l.Decide(in)
	}
	if l.ctx.Err() != nil {
		return
	}
	l.Feed.Propose(l.Epoch, l.endRound(in, out)...)
}

// beginRound returns the input of a planning round.
func (l *Leader) beginRound(cfg *policy.Config) plan.Input {
	var in plan.Input
	l.Feed.View(func(s *ledger.State) {
		l.mu.Lock()
		defer l.mu.Unlock()
		in = l.planInput(s, cfg)
	})
	return in
}

// endRound carries out the decisions of a planning round, and returns the records of
// its starts.
func (l *Leader) endRound(in plan.Input, out plan.Output) []ledger.Record {
	var records []ledger.Record
	l.Feed.View(func(s *ledger.State) {
		l.mu.Lock()
		defer l.mu.Unlock()
		defer l.endWaits(in.Now)
		defer l.summarize(s, time.Now())
		if len(in.Waiting) == 0 {
			return
		}
		l.tally.headroom = max(l.tally.headroom, out.Headroom)
		out.Placements = l.dropOutdated(s, out.Placements, in.Now)
		planned := out.Placements
		out.Placements = l.pacer.admit(out.Placements, in.Now, l.startBacklog(s), func(st plan.Placement) int64 {
			return int64(len(st.Workers)) * startSize(s, st.Unit.ID)
		})
		l.recordDecisions(out, in)
		l.notePlan(in, out, planned)
		for _, st := range out.Placements {
			start := l.proposedStarts[st.Unit.ID]
			records = append(records, ledger.Record{Start: &start})
		}
	})
	return records
}

// dropOutdated returns the placements that are still possible, although records and
// reports may have arrived since the input of the round was read. The caller holds the
// feed's lock and l.mu.
func (l *Leader) dropOutdated(s *ledger.State, placements []plan.Placement, now int64) []plan.Placement {
	if len(placements) == 0 {
		return nil
	}
	orphaned := l.orphanUnits(s)
	return slices.DeleteFunc(placements, func(st plan.Placement) bool {
		id := st.Unit.ID
		if !orphaned[id] && l.canStart(s, id) && !slices.ContainsFunc(st.Workers, l.unsuitable) {
			return false
		}
		l.noteWait(id, now, waitOutdated)
		l.wakePlanner()
		return true
	})
}

// canStart reports whether the state lets the unit start, and no run of it has been
// reported. The caller holds the feed's lock and l.mu.
func (l *Leader) canStart(s *ledger.State, id ledger.UnitID) bool {
	js := s.Jobs[id.Job]
	if js == nil || js.Phase.Final() || l.runReturned(id) {
		return false
	}
	u := js.Unit(id)
	return u != nil && !u.Done && !u.Active()
}

// unsuitable reports whether no new runs may start on the worker. The caller holds l.mu.
func (l *Leader) unsuitable(id string) bool {
	w := l.workers[id]
	return !w.usable(time.Now()) || l.Policy.Evacuated(w.entry.Zone)
}

// startSize returns the approximate size in bytes of the request that starts a
// task of the unit.
func startSize(s *ledger.State, unit ledger.UnitID) int64 {
	js := s.Jobs[unit.Job]
	if js == nil {
		return startOverheadBytes
	}
	return StartRequest{Spec: js.Job.Spec}.size()
}

// startBacklog returns the total size in bytes of the start requests that are
// decided and not sent yet. The caller holds the feed's lock and l.mu.
func (l *Leader) startBacklog(s *ledger.State) int64 {
	bytes := int64(0)
	for unit, st := range l.proposedStarts {
		bytes += int64(len(st.Workers)) * startSize(s, unit)
	}
	for _, size := range l.unsentStarts {
		bytes += size
	}
	return bytes
}

// recordDecisions stores the starts and reservations of a planning round and
// carries out its stops. The caller holds the feed's lock and l.mu.
func (l *Leader) recordDecisions(out plan.Output, in plan.Input) {
	l.countContended(out.Placements)
	for _, st := range out.Placements {
		u := st.Unit
		start := ledger.Start{Epoch: l.Epoch, Unit: u.ID, Run: u.Run, Workers: st.Workers, At: time.Now().UnixMilli(), ReportsBegin: true}
		for _, id := range st.Workers {
			start.Incarnations = append(start.Incarnations, l.workers[id].incarnation)
		}
		l.proposedStarts[u.ID] = start
		for _, unit := range st.Displaces {
			delete(l.reservations, unit)
			l.displaced[u.ID] = append(l.displaced[u.ID], unit)
		}
		l.Logger.Info("start", zap.Stringer("unit", u.ID), zap.Int("run", u.Run), zap.Int("priority", u.Priority), zap.Bool("sure", u.Guaranteed),
			zap.Int64("waited", in.Now-u.ReadySince), zap.Int("queue", len(in.Waiting)), zap.Strings("workers", st.Workers), zap.Stringers("displaces", st.Displaces))
	}
	until := time.Now().Add(reservationTime)
	for _, h := range out.Reservations {
		w := l.waiting(h.Unit, in.Now)
		if w.reservedSince == 0 {
			w.reservedSince = in.Now
		}
		h.Since = w.reservedSince
		if h.NonPreemptive {
			l.Logger.Info("resources reserved as they become free", zap.Stringer("unit", h.Unit), zap.Strings("workers", h.Workers))
			l.reservations[h.Unit] = reservation{h, until.Add(drainExtraTime)}
			continue
		}
		l.reservations[h.Unit] = reservation{h, until}
	}
	for _, v := range out.Preemptions {
		l.stopUnit(v.ID, "preempted")
	}
}
