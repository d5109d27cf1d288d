package worker

import (
	"jasminelane.example/lane/record"
	"jasminelane.example/lane/state"
)

// NewSyncRequest returns the sync that states the worker's tasks. A gang on
// several workers is only armed, except the job whose ID is run, which is told
// to run.
func NewSyncRequest(s *state.State, w *state.Worker, lease int64, run string) SyncRequest {
	q := SyncRequest{Worker: w.Name, Offset: s.Offset, LeaseMs: lease, Grants: []Grant{}}
	for _, t := range w.Tasks {
		j := t.Job
		g := Grant{
			Job: j.ID, Token: t.Token, Mask: t.Mask, GraceMs: t.GraceMs, Incarnation: t.Incarnation, Once: j.Spec.Once, Checkpoint: j.Spec.Checkpoint,
			Input: j.Spec.Input, Kind: j.Spec.Kind, ExpectedMs: j.Spec.ExpectedMs, Progress: j.Progress, Members: len(j.Slots),
		}
		switch t.Phase {
		case state.TaskHold:
			g.Phase = PhaseHold
		case state.TaskRun:
			g.Phase = PhaseArm
			if len(j.Slots) == 1 || j.ID == run {
				g.Phase = PhaseRun
			}
		case state.TaskStopping:
			if t.GraceMs == 0 || !j.Spec.Checkpoint {
				continue
			}
			g.Phase = PhaseCheckpoint
		case state.TaskDone:
			continue
		}
		q.Grants = append(q.Grants, g)
	}
	return q
}

// Results returns what the answer to q changes in the state: the results that
// the state still accepts, and the tasks that have stopped.
func Results(s *state.State, w *state.Worker, q SyncRequest, a SyncAnswer) []record.Result {
	type key struct {
		job   string
		token uint64
	}
	live := make(map[key]bool, len(a.Tasks))
	var out []record.Result
	for _, st := range a.Tasks {
		o, ok := st.outcome()
		if !ok {
			live[key{st.Job, st.Token}] = true
			continue
		}
		if s.AcceptsResult(w, st.Job, st.Token, o) {
			live[key{st.Job, st.Token}] = true
			// The state rejects a result with values out of range. They are
			// clamped, because a worker whose clock is wrong must not prevent its
			// job from ending.
			out = append(out, record.Result{
				Job: st.Job, Token: st.Token, Outcome: o, RanMs: max(0, st.RanMs), Progress: min(1, max(0, st.Progress)),
			})
		}
	}
	for _, t := range w.Tasks {
		// The stop is complete if it was in the state when the sync was sent and
		// the worker does not list the task.
		if t.Phase == state.TaskStopping && t.Job.Revision <= q.Offset && !live[key{t.Job.ID, t.Token}] {
			out = append(out, record.Result{Job: t.Job.ID, Token: t.Token, Outcome: record.RunAbsent})
		}
	}
	return out
}

// Acks returns acknowledgements for the results in the answer that the state
// does not accept, or accepts no longer, so that the worker can delete them.
func Acks(s *state.State, w *state.Worker, a SyncAnswer) []Ack {
	var out []Ack
	for _, st := range a.Tasks {
		if o, ok := st.outcome(); ok && !s.AcceptsResult(w, st.Job, st.Token, o) {
			out = append(out, Ack{st.Job, st.Token})
		}
	}
	return out
}
