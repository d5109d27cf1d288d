package ledger

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// startReported is a start of a version that writes Begin records.
func startReported(epoch uint64, job string, run int, workers ...string) Record {
	r := start(epoch, job, run, workers...)
	r.Start.ReportsBegin = true
	return r
}

func begin(epoch uint64, job string) Record { return Record{Begin: &Begin{Epoch: epoch, Job: job}} }

// pendingByWalk counts the jobs of a queue that have not begun.
func (s *State) pendingByWalk(queue string) int {
	n := 0
	for _, js := range s.Jobs {
		if js.Job.Queue == queue && js.Phase == Queued {
			n++
		}
	}
	return n
}

// Guards against a job that counts as begun with the decision to start it, although no
// worker carried that out, and against one that has begun and counts as pending.
func TestBegin(t *testing.T) {
	one, gang := Step{Count: 1}, Step{Count: 2, Gang: true}
	tests := []struct {
		name    string
		records []Record
		want    Phase
	}{
		{"decided", []Record{submit("a", one), startReported(1, "a", 1, "w")}, Queued},
		{"begun", []Record{submit("a", one), startReported(1, "a", 1, "w"), begin(1, "a")}, Running},
		{"begun without the record of the start", []Record{submit("a", one), begin(1, "a")}, Running},
		{"begin of an earlier epoch", []Record{submit("a", one), startReported(1, "a", 1, "w"), claim(2), begin(1, "a")}, Queued},
		{"lost", []Record{submit("a", one), startReported(1, "a", 1, "w"), end(1, "a", 1, 0, WorkerLost)}, Queued},
		{"crashed", []Record{submit("a", one), startReported(1, "a", 1, "w"), end(1, "a", 1, 0, WorkerCrashed)}, Queued},
		{"stopped", []Record{submit("a", one), startReported(1, "a", 1, "w"), end(1, "a", 1, 0, Stopped)}, Queued},
		{"begun and lost", []Record{submit("a", one), startReported(1, "a", 1, "w"), begin(1, "a"), end(1, "a", 1, 0, WorkerLost)}, Running},
		{"lost and begun late", []Record{submit("a", one), startReported(1, "a", 1, "w"), end(1, "a", 1, 0, WorkerLost), begin(1, "a")}, Running},
		{"lost and decided again", []Record{submit("a", one), startReported(1, "a", 1, "w"), end(1, "a", 1, 0, WorkerLost), startReported(1, "a", 2, "v")}, Queued},
		{"lapsed", []Record{submit("a", one), startReported(1, "a", 1, "w"), end(1, "a", 1, 0, LeaseExpired)}, Running},
		{"failed", []Record{submit("a", one), startReported(1, "a", 1, "w"), end(1, "a", 1, 0, Failed)}, Running},
		{"done", []Record{submit("a", one), startReported(1, "a", 1, "w"), end(1, "a", 1, 0, Done)}, Finished},
		{"begin after the end", []Record{submit("a", one), startReported(1, "a", 1, "w"), end(1, "a", 1, 0, Done), begin(1, "a")}, Finished},
		{"lost, then failed after all", []Record{submit("a", one), startReported(1, "a", 1, "w"), end(1, "a", 1, 0, WorkerLost), end(1, "a", 1, 0, Failed)}, Running},
		{"resumed", []Record{submit("a", one), startReported(1, "a", 1, "w"), end(1, "a", 1, 0, WorkerLost), resume(1, "a", 1)}, Running},
		{"cancelled", []Record{submit("a", one), startReported(1, "a", 1, "w"), {Cancel: &Cancel{ID: "a"}}, begin(1, "a")}, Cancelled},
		{"one member of a gang lost", []Record{submit("a", gang), startReported(1, "a", 1, "v", "w"), end(1, "a", 1, 0, WorkerLost)}, Queued},
		{"one member of a gang alone", []Record{submit("a", gang), startReported(1, "a", 1, "v", "w"), end(1, "a", 1, 0, WorkerLost), end(1, "a", 1, 1, GangIncomplete)}, Running},
		{"second step decided", []Record{submit("a", one, Step{Count: 1, After: []int{0}}), startReported(1, "a", 1, "w"), end(1, "a", 1, 0, Done)}, Running},
		{"start by an earlier version", []Record{submit("a", one), start(1, "a", 1, "w"), end(1, "a", 1, 0, WorkerLost)}, Running},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := NewState()
			s.Apply(claim(1))
			for _, r := range tt.records {
				data, err := Encode(r)
				is.NoErr(err)
				got, err := Decode(data)
				is.NoErr(err)
				s.Apply(got)
			}
			is.Equal(s.Jobs["a"].Phase, tt.want)
			want := 0
			if tt.want == Queued {
				want = 1
			}
			is.Equal(s.Pending(""), want)
		})
	}
}

// Guards against a number of pending jobs that differs from the jobs' phases, also in a
// state that was read from a snapshot or from rewritten jobs.
func TestPendingMatchesPhases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewState()
		s.Apply(claim(1))
		runs := map[string]int{}
		queues := []string{"p", "q"}
		check := func(what string, s *State) {
			for _, queue := range queues {
				if got, want := s.Pending(queue), s.pendingByWalk(queue); got != want {
					t.Fatalf("%s: %d pending in %s, want %d", what, got, queue, want)
				}
			}
		}
		for range rapid.IntRange(0, 40).Draw(t, "n") {
			job := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "job")
			var r Record
			switch rapid.IntRange(0, 6).Draw(t, "kind") {
			case 0:
				r = submit(job, Step{Count: 1}, Step{Count: 1, After: []int{0}})
				r.Submit.Queue = rapid.SampledFrom(queues).Draw(t, "queue")
			case 1:
				runs[job]++
				r = startReported(1, job, runs[job], "v")
			case 2:
				r = begin(1, job)
			case 3:
				r = end(1, job, runs[job], 0, rapid.SampledFrom([]RunOutcome{Done, Failed, WorkerLost, Stopped}).Draw(t, "how"))
			case 4:
				r = Record{Cancel: &Cancel{ID: job, At: 3}}
			case 5:
				r = resume(1, job, runs[job])
			case 6:
				js := JobState{Job: Job{ID: job, Queue: rapid.SampledFrom(queues).Draw(t, "queue")}, Phase: rapid.SampledFrom([]Phase{Queued, Running, Cancelled}).Draw(t, "phase")}
				r = Record{Rewrite: &js}
			}
			s.Apply(r)
			check("applied", s)
		}
		s.DropEnded(5)
		check("ended jobs dropped", s)
		plain, err := s.MarshalSnapshot(1)
		if err != nil {
			t.Fatal(err)
		}
		data, err := CompressSnapshot(plain)
		if err != nil {
			t.Fatal(err)
		}
		loaded, _, err := DecodeSnapshot(data)
		if err != nil {
			t.Fatal(err)
		}
		check("loaded", loaded)
		for _, queue := range queues {
			if got, want := loaded.Pending(queue), s.Pending(queue); got != want {
				t.Fatalf("loaded: %d pending in %s, want %d", got, queue, want)
			}
		}
	})
}
