package worker

import (
	"testing"

	"github.com/matryer/is"

	"jasminelane.example/lane/record"
	"jasminelane.example/lane/shape"
	"jasminelane.example/lane/state"
)

// TestAnswerFromBeforePlacement guards against a task that is taken as stopped
// because the answer to a sync from before its placement does not list it. The
// task may still run, so its accelerators must not be given to other jobs.
func TestAnswerFromBeforePlacement(t *testing.T) {
	is := is.New(t)
	s := &state.State{}
	do := func(kind record.Kind, body any) {
		t.Helper()
		rec, err := record.New(kind, "", body)
		is.NoErr(err)
		out, err := s.Apply(s.Offset, &record.Batch{Writer: "a", Seq: s.Offset + 1, At: 1_796_361_383_000, MinVersion: 1, Records: []record.Record{rec}})
		is.NoErr(err)
		is.Equal(out[0].Reason, state.Reason(""))
	}
	do(record.KindPublish, record.Publish{Name: "rack/r1", Body: []byte(`{"domain":"kochi","workers":[{"name":"w0","gpus":4,"cores":8,"memory":8}]}`)})
	do(record.KindPublish, record.Publish{Name: "account/asha", Body: []byte(`{}`)})
	do(record.KindSubmit, record.Submit{Job: "j", Account: "asha", Shape: shape.Shape{Members: 1, GPUs: 4, Level: shape.LevelWorker}})
	w, j := s.Workers[0], s.Jobs["j"]
	early := NewSyncRequest(s, w, 1000, "")
	do(record.KindPlace, record.Place{Job: "j", Revision: j.Revision, Slots: []shape.Slot{{Worker: 0, Mask: 0xf}}})
	do(record.KindStart, record.Start{Job: "j", Token: j.Token})
	do(record.KindPreempt, record.Preempt{Job: "j", Token: j.Token})
	is.Equal(j.Phase, state.JobStopping)
	is.Equal(len(Results(s, w, early, SyncAnswer{})), 0)
	later := NewSyncRequest(s, w, 1000, "")
	is.Equal(Results(s, w, later, SyncAnswer{}), []record.Result{{Job: "j", Token: j.Token, Outcome: record.RunAbsent}})
}
