package ledger

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// Guards against a job that runs although its cancellation was answered before its
// submission was stored, and against one that does not run although it was submitted
// after that answer.
func TestEarlyCancel(t *testing.T) {
	submitted := func(seen uint64, at int64) Record {
		return Record{Submit: &Job{ID: "a", Steps: []Step{{Count: 1}}, Seen: seen, AcceptedAt: at}}
	}
	cancelled := func(at int64) Record { return Record{Cancel: &Cancel{ID: "a", At: at}} }
	tests := []struct {
		name    string
		records []Record // at the offsets 10, 11 and so on
		want    Phase
	}{
		{"stored late", []Record{cancelled(500), submitted(7, 400)}, Cancelled},
		{"stored late twice", []Record{cancelled(500), submitted(7, 400), submitted(7, 400)}, Cancelled},
		{"by an instance of an earlier version", []Record{cancelled(500), submitted(0, 400)}, Cancelled},
		{"submitted again at an instance that has read the cancellation", []Record{cancelled(500), submitted(11, 400)}, Queued},
		{"submitted again at an instance that has not", []Record{cancelled(500), submitted(9, 600)}, Queued},
		{"submitted again, then the first one late", []Record{cancelled(500), submitted(11, 600), submitted(7, 400)}, Queued},
		{"first one late, then submitted again", []Record{cancelled(500), submitted(7, 400), submitted(12, 600)}, Cancelled},
		{"submitted again, then a copy of the cancellation", []Record{cancelled(500), submitted(11, 600), cancelled(500)}, Queued},
		{"submitted again and cancelled", []Record{cancelled(500), submitted(11, 600), cancelled(700)}, Cancelled},
		{"cancelled again before it is stored", []Record{cancelled(500), cancelled(700), submitted(11, 600)}, Cancelled},
		{"cancelled by a clock that is behind", []Record{cancelled(500), cancelled(300), submitted(11, 200)}, Cancelled},
	}
	for _, tt := range tests {
		for _, snapshot := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, snapshots %v", tt.name, snapshot), func(t *testing.T) {
				is := is.New(t)
				s := NewState()
				for i, r := range tt.records {
					data, err := Encode(r)
					is.NoErr(err)
					got, err := Decode(data)
					is.NoErr(err)
					got.Offset = uint64(10 + i)
					s.Apply(got)
					if snapshot {
						s = reloaded(t, s)
					}
				}
				is.Equal(s.Jobs["a"].Phase, tt.want)
				is.Equal(s.Jobs["a"].Active(), false)
			})
		}
	}
}

// reloaded returns the state that an instance loads from a snapshot of the state.
func reloaded(t *testing.T, s *State) *State {
	is := is.New(t)
	data, err := s.MarshalSnapshot(99)
	is.NoErr(err)
	data, err = CompressSnapshot(data)
	is.NoErr(err)
	out, _, err := DecodeSnapshot(data)
	is.NoErr(err)
	return out
}

// Guards against a job that is shown although nobody submitted it.
func TestEarlyCancelShowsNoJob(t *testing.T) {
	is := is.New(t)
	s := NewState()
	is.True(s.Apply(Record{Cancel: &Cancel{ID: "a", At: 500}}))
	is.Equal(len(s.Jobs), 0)
	is.True(!s.Apply(Record{Cancel: &Cancel{ID: "a", At: 500}}))
}

// Guards against memory that grows with the cancellations of jobs that never come, and
// against the loss of the newest of them.
func TestEarlyCancelsAreBounded(t *testing.T) {
	is := is.New(t)
	s := NewState()
	cancel := func(offset int, id string) {
		s.Apply(Record{Cancel: &Cancel{ID: id, At: int64(offset)}, Offset: uint64(offset)})
	}
	cancel(0, "first")
	for i := 1; i <= 3*maxEarlyCancels; i++ {
		cancel(i, fmt.Sprint(i))
		if i == maxEarlyCancels/2 {
			cancel(i, "again")
		}
		if i == 3*maxEarlyCancels/2-10 {
			cancel(i, "again")
		}
		if i == 2*maxEarlyCancels {
			_, ok := s.EarlyCancel("again")
			is.True(ok) // the newer of its two cancellations is kept
		}
	}
	is.Equal(len(s.early.byJob), maxEarlyCancels)
	is.Equal(len(s.early.order), maxEarlyCancels)
	_, ok := s.EarlyCancel("first")
	is.True(!ok)
	_, ok = s.EarlyCancel(fmt.Sprint(3 * maxEarlyCancels))
	is.True(ok)
	s = reloaded(t, s)
	is.Equal(len(s.early.byJob), maxEarlyCancels)
	s.DropEnded(3*maxEarlyCancels + 1)
	is.Equal(len(s.early.byJob), 0)
	is.Equal(len(s.early.order), 0)
}
