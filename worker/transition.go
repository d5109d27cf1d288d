package worker

import (
	"strings"
	"time"

	"go.uber.org/zap"

	"jasminelane.example/lane/record"
	"jasminelane.example/lane/state"
)

// Causes of conditions that the keeper proposes.
const (
	causeUnreachable = "unreachable"
	causeReachable   = "reachable"
	causeProbe       = "probe"
	causeLostAside   = "unreachable, was set aside: " // followed by the earlier cause
)

// lossLimit bounds the time until a worker is reported lost again.
const lossLimit = 10 * time.Minute

// records returns what is to be proposed now. Ranks beyond the first wait,
// because the first has likely proposed the same.
func (k *Keeper) records(s *state.State, w *state.Worker, e *kept, now time.Time) []record.Record {
	out, event := k.transitions(s, w, e, now)
	if len(out) == 0 {
		e.since = time.Time{}
		return nil
	}
	if e.since.IsZero() {
		e.since = now
	}
	if now.Sub(e.since) < time.Duration(e.rank)*k.RankDelay {
		return nil
	}
	k.Count(event)
	return out
}

// transitions returns what the worker's last answer, or its silence, asks for,
// and the name of the event.
func (k *Keeper) transitions(s *state.State, w *state.Worker, e *kept, now time.Time) ([]record.Record, string) {
	if w.Condition != record.ConditionLost {
		e.lost = time.Time{}
		if now.Sub(e.reached) >= e.wait {
			cause := causeUnreachable
			if w.Condition == record.ConditionAside {
				cause = causeLostAside + w.Cause
			}
			return k.health(nil, w, record.ConditionLost, cause), "lost"
		}
	} else if e.lost.IsZero() {
		e.lost = now
		if now.Sub(e.reached) >= e.wait {
			// Another instance may reach the worker and report it back, in which
			// case the fault is on this side: wait longer each time.
			e.wait = min(2*e.wait, lossLimit)
		}
	}
	if w.Condition == record.ConditionLost && now.Sub(e.reached) >= k.Lease {
		return k.expired(w, e, now), "expired"
	}
	if e.answer == nil {
		return nil, ""
	}
	var out []record.Record
	if res := append(Results(s, w, e.request, *e.answer), unarmed(s, w, *e.answer)...); len(res) > 0 {
		out = add(out, k.Logger, record.KindReport, record.Report{Worker: w.Index, Results: res})
	}
	if w.Condition == record.ConditionLost && e.answered.After(e.lost) {
		if cause, ok := strings.CutPrefix(w.Cause, causeLostAside); ok {
			return k.health(out, w, record.ConditionAside, cause), "back"
		}
		return k.health(out, w, record.ConditionReady, causeReachable), "back"
	}
	return out, "report"
}

// expired reports the tasks of a lost worker as ended when its lease has run
// out for certain: one lease, and a fifth of one for other instances whose
// view may have been that much older, after the loss was seen.
func (k *Keeper) expired(w *state.Worker, e *kept, now time.Time) []record.Record {
	if now.Sub(e.lost) < k.Lease*6/5 {
		return nil
	}
	r := record.Report{Worker: w.Index}
	for _, t := range w.Tasks {
		if t.Phase == state.TaskStopping {
			r.Results = append(r.Results, record.Result{Job: t.Job.ID, Token: t.Token, Outcome: record.RunAbsent})
		}
	}
	if len(r.Results) == 0 {
		return nil
	}
	return add(nil, k.Logger, record.KindReport, r)
}

// unarmed returns members of gangs that were started long ago and still wait
// for the order to run: no starter brings them there any more.
func unarmed(s *state.State, w *state.Worker, a SyncAnswer) []record.Result {
	var out []record.Result
	for _, st := range a.Tasks {
		if st.Phase != StatusArmed {
			continue
		}
		for _, t := range w.Tasks {
			if t.Job.ID == st.Job && t.Token == st.Token && t.Phase == state.TaskRun && s.Now-t.Job.StartedAt >= state.StartWindowMs {
				out = append(out, record.Result{Job: st.Job, Token: st.Token, Outcome: record.RunAbsent})
			}
		}
	}
	return out
}

func (k *Keeper) health(out []record.Record, w *state.Worker, c record.Condition, cause string) []record.Record {
	k.Logger.Debug("worker condition", zap.String("worker", w.Name), zap.String("condition", string(c)), zap.String("cause", cause))
	return add(out, k.Logger, record.KindHealth, record.Health{Worker: w.Index, Revision: w.Revision, Condition: c, Cause: cause})
}

// add appends a record to the list.
func add(out []record.Record, l *zap.Logger, kind record.Kind, body any) []record.Record {
	r, err := record.New(kind, "", body)
	if err != nil {
		l.Error("encoding failed", zap.String("kind", string(kind)), zap.Error(err))
		return out
	}
	return append(out, r)
}
