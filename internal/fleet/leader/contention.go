package leader

import (
	"time"

	"go.uber.org/zap"

	"jasminelane.example/lane/internal/fleet/contention"
	"jasminelane.example/lane/internal/fleet/ledger"
	"jasminelane.example/lane/internal/fleet/plan"
)

// taskKind is what a run with an image is compared by.
type taskKind struct {
	image  string
	rack   string  // of the data of its step; empty if there is none
	target float64 // bound on the tail latency in ms; 0 if it does not serve
	seen   contention.Run
}

// kindOf returns the kind of the unit's tasks, or nil if they have no image.
func kindOf(js *ledger.JobState, unit ledger.UnitID) *taskKind {
	step := &js.Job.Steps[unit.Step]
	if step.Image == "" {
		return nil
	}
	k := &taskKind{image: step.Image, rack: step.Rack}
	if step.LongRunning {
		k.target = float64(step.TailTarget)
	}
	return k
}

// setKind sets the kind of a run that was taken back before its job was known.
func (n *run) setKind(s *ledger.State) {
	if js := s.Jobs[n.unit.Job]; js != nil && n.kind == nil {
		n.kind = kindOf(js, n.unit)
	}
}

// observeContention learns from a worker's report which tasks slow each other down. A
// report that was requested before another one that has been applied says nothing, and
// neither does one of a worker that is still slow after its start. The caller holds
// l.mu.
func (l *Leader) observeContention(w *worker, rep Report, sent, now time.Time) {
	if l.contention == nil || sent.Before(w.reportSentAt) || now.Before(w.entry.ColdUntil) {
		return
	}
	var readings []contention.Reading
	for _, t := range rep.Running {
		n := w.runs[runKey{t.Task, t.Run}]
		if n == nil || n.kind == nil || n.incarnation != rep.Incarnation {
			continue
		}
		step := contention.Step{Job: n.unit.Job, Occurrence: n.unit.Occurrence, Step: n.unit.Step, Near: n.kind.rack != "" && n.kind.rack == w.entry.Rack}
		r := contention.Reading{Run: &n.kind.seen, Step: step, Kind: n.kind.image, Percent: t.Percent, Target: n.kind.target}
		if r.Target > 0 {
			r.Tail = t.Figure
		}
		readings = append(readings, r)
	}
	if len(readings) > 0 {
		l.contention.Report(w.id, rep.ClockMs, now.UnixMilli(), readings)
	}
}

// sweepContention logs and counts the pairs of images that begin or cease to slow each
// other down. The caller holds l.mu.
func (l *Leader) sweepContention(now int64) {
	for _, c := range l.contention.Sweep(now) {
		msg, event := "tasks of an image do not slow another one down any more", "contention.end"
		if c.Counts {
			msg, event = "tasks of an image slow another one down; keeping them apart where there is room", "contention.begin"
		}
		l.Logger.Info(msg, zap.String("image", c.Kind), zap.String("beside", c.Beside), zap.Float64("slowdown", c.Slowdown), zap.Float64("samples", c.Samples))
		if l.Metrics != nil {
			l.Metrics.Count(event)
		}
	}
}

// addContention adds the known slowdowns to the input, and to each worker the costs by
// what runs, or is about to start, there. The caller holds the feed's lock and l.mu.
func (l *Leader) addContention(in *plan.Input, s *ledger.State) {
	if l.contention == nil {
		return
	}
	l.sweepContention(time.Now().UnixMilli())
	in.Slowdowns = l.contention.Costs()
	if in.Slowdowns == nil {
		return
	}
	byID := make(map[string]*plan.Worker, len(in.Workers))
	for _, w := range in.Workers {
		byID[w.ID] = w
		for _, n := range l.workers[w.ID].runs {
			if n.kind != nil {
				w.AddKind(in.Slowdowns[n.kind.image])
			}
		}
	}
	for unit, st := range l.proposedStarts {
		slowdowns := in.Slowdowns[s.Jobs[unit.Job].Job.Steps[unit.Step].Image]
		for _, id := range st.Workers {
			if w := byID[id]; w != nil {
				w.AddKind(slowdowns)
			}
		}
	}
}

// countContended counts the tasks of images with known slowdowns that are placed
// beside what slows them down. The caller holds l.mu.
func (l *Leader) countContended(placements []plan.Placement) {
	if l.contention == nil || l.Metrics == nil {
		return
	}
	for _, p := range placements {
		for range p.Contended {
			l.Metrics.Count("contention.beside")
		}
	}
}

// ContentionStatus returns what is known of tasks that slow each other down.
func (l *Leader) ContentionStatus() contention.Status {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.contention == nil {
		return contention.Status{}
	}
	return l.contention.Status()
}
