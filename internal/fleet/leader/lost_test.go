package leader

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against blaming a crash on work that only ran beside its cause, and against blaming it on nothing.
func TestCrashSuspects(t *testing.T) {
	unsent := &run{}
	unanswered := &run{openStarts: 1}
	accepted := &run{settledAt: time.Now(), accepted: true}
	reported := &run{settledAt: time.Now(), accepted: true, reported: true}
	tests := []struct {
		name   string
		listed bool
		lost   []*run
		cause  lossCause
		want   []*run
	}{
		{"fresh ones before reported ones", false, []*run{reported, accepted, unsent, unanswered}, lossVanished, []*run{accepted, unanswered}},
		{"restarted", true, []*run{reported, accepted}, lossRestarted, []*run{accepted}},
		{"all reported", false, []*run{reported, unsent}, lossVanished, []*run{reported}},
		{"start not answered", false, []*run{reported, unanswered}, lossVanished, []*run{unanswered}},
		{"nothing sent", false, []*run{unsent}, lossVanished, nil},
		{"drained", false, []*run{accepted, reported}, lossDrained, nil},
		{"not reported by a worker that did not restart", true, []*run{accepted}, lossMissing, nil},
		{"unreachable and gone from the list", false, []*run{accepted, reported}, lossUnreachable, []*run{accepted}},
		{"unreachable, all reported", false, []*run{reported}, lossUnreachable, nil},
		{"unreachable and still listed", true, []*run{accepted}, lossUnreachable, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			got := crashSuspects(&worker{listed: tt.listed}, tt.lost, tt.cause)
			is.Equal(len(got), len(tt.want))
			for _, n := range tt.want {
				is.True(got[n])
			}
		})
	}
}
