package worker

import (
	"strings"
	"time"

	"go.uber.org/zap"

	"jasminelane.example/lane/record"
	"jasminelane.example/lane/state"
)

// Causes of the worker conditions that a LeaseKeeper proposes.
const (
	causeUnreachable     = "unreachable"
	causeReachable       = "reachable"
	causeProbe           = "probe"
	causeLostQuarantined = "unreachable, was set aside: " // a quarantined worker was lost; followed by the cause of the quarantine
)

// maxLossTimeout is the upper limit of the backoff until a worker is reported
// lost again.
const maxLossTimeout = 10 * time.Minute

// dueRecords returns the records to propose now. Ranks beyond the first wait,
// because the first has likely proposed the same records.
func (k *LeaseKeeper) dueRecords(s *state.State, w *state.Worker, e *workerEntry, now time.Time) []record.Record {
	out, event := k.transitions(s, w, e, now)
	if len(out) == 0 {
		e.pendingSince = time.Time{}
		return nil
	}
	if e.pendingSince.IsZero() {
		e.pendingSince = now
	}
	if now.Sub(e.pendingSince) < time.Duration(e.rank)*k.RankDelay {
		return nil
	}
	k.Count(event)
	return out
}

// transitions returns the records that follow from the worker's last answer, or
// from its failure to answer, and the name of the event to count.
func (k *LeaseKeeper) transitions(s *state.State, w *state.Worker, e *workerEntry, now time.Time) ([]record.Record, string) {
	if w.Condition != record.ConditionLost {
		e.lostSince = time.Time{}
		if now.Sub(e.reachedAt) >= e.lossTimeout {
			cause := causeUnreachable
			if w.Condition == record.ConditionAside {
				cause = causeLostQuarantined + w.Cause
			}
			return k.appendHealth(nil, w, record.ConditionLost, cause), "lost"
		}
	} else if e.lostSince.IsZero() {
		e.lostSince = now
		if now.Sub(e.reachedAt) >= e.lossTimeout {
			// Another instance may reach the worker and report it ready again.
			// The fault is then on this instance's side, so it doubles its timeout
			// each time.
			e.lossTimeout = min(2*e.lossTimeout, maxLossTimeout)
		}
	}
	if w.Condition == record.ConditionLost && now.Sub(e.reachedAt) >= k.Lease {
		return k.leaseEnded(w, e, now), "expired"
	}
	if e.answer == nil {
		return nil, ""
	}
	var out []record.Record
	if res := append(Results(s, w, e.request, *e.answer), stuckArmed(s, w, *e.answer)...); len(res) > 0 {
		out = appendRecord(out, k.Logger, record.KindReport, record.Report{Worker: w.Index, Results: res})
	}
	if w.Condition == record.ConditionLost && e.answeredAt.After(e.lostSince) {
		if cause, ok := strings.CutPrefix(w.Cause, causeLostQuarantined); ok {
			return k.appendHealth(out, w, record.ConditionAside, cause), "back"
		}
		return k.appendHealth(out, w, record.ConditionReady, causeReachable), "back"
	}
	return out, "report"
}

// leaseEnded reports the stopping tasks of a lost worker as ended once its lease
// has certainly expired. That is one lease after the loss was seen, and a fifth
// of a lease more because the views of other instances may be that much older.
func (k *LeaseKeeper) leaseEnded(w *state.Worker, e *workerEntry, now time.Time) []record.Record {
	if now.Sub(e.lostSince) < k.Lease*6/5 {
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
	return appendRecord(nil, k.Logger, record.KindReport, r)
}

// stuckArmed returns the members of gangs that were started at least
// state.StartWindowMs ago and are still only armed. No GangStarter tells them to
// run any more, so they are reported as absent.
func stuckArmed(s *state.State, w *state.Worker, a SyncAnswer) []record.Result {
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

// appendHealth appends a health record with the worker's new condition to out.
func (k *LeaseKeeper) appendHealth(out []record.Record, w *state.Worker, c record.Condition, cause string) []record.Record {
	k.Logger.Debug("proposing worker condition", zap.String("worker", w.Name), zap.String("condition", string(c)), zap.String("cause", cause))
	return appendRecord(out, k.Logger, record.KindHealth, record.Health{Worker: w.Index, Revision: w.Revision, Condition: c, Cause: cause})
}

// appendRecord encodes the record and appends it to out. A record that cannot be
// encoded is logged and left out.
func appendRecord(out []record.Record, l *zap.Logger, kind record.Kind, body any) []record.Record {
	r, err := record.New(kind, "", body)
	if err != nil {
		l.Error("cannot encode record; it is not proposed", zap.String("kind", string(kind)), zap.Error(err))
		return out
	}
	return append(out, r)
}
