package leader

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against blaming a crash on work that only ran beside its cause, and against blaming it on nothing.
func TestCrashSuspects(t *testing.T) {
	unsent := &run{}
	fresh := &run{startSent: true}
	inherited := &run{inherited: true}
	reported := &run{startSent: true, reported: true}
	cut := &worker{}
	tests := []struct {
		name  string
		w     *worker
		lost  []*run
		cause lossCause
		want  []*run
	}{
		{"fresh runs before reported ones", cut, []*run{reported, fresh, unsent, inherited}, lossVanished, []*run{fresh, inherited}},
		{"restarted", cut, []*run{reported, fresh}, lossRestarted, []*run{fresh}},
		{"all reported", cut, []*run{reported, unsent}, lossVanished, []*run{reported}},
		{"nothing sent", cut, []*run{unsent}, lossVanished, nil},
		{"drained", cut, []*run{fresh, reported}, lossDrained, nil},
		{"not reported by a worker that did not restart", cut, []*run{fresh}, lossMissing, nil},
		{"unreachable and gone from the list", cut, []*run{fresh, reported}, lossUnreachable, []*run{fresh}},
		{"unreachable, all reported", cut, []*run{reported}, lossUnreachable, nil},
		{"unreachable and still listed", &worker{listed: true}, []*run{fresh}, lossUnreachable, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			got := crashSuspects(tt.w, tt.lost, tt.cause)
			is.Equal(len(got), len(tt.want))
			for _, n := range tt.want {
				is.True(got[n])
			}
		})
	}
}
