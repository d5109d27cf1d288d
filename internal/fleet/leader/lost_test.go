package leader

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"jasminelane.example/lane/internal/fleet/ledger"
)

// Guards against blaming a crash on work that only ran beside its cause, and against blaming it on nothing.
func TestCrashSuspects(t *testing.T) {
	unsent := &run{}
	unanswered := &run{proof: proof{openStarts: 1}}
	accepted := &run{proof: proof{settledAt: time.Now()}, accepted: true}
	reported := &run{proof: proof{settledAt: time.Now()}, accepted: true, reported: true}
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

// Guards against blaming a crash on a task that ran beside its cause, because the cause is only lost later.
func TestCrashBlame(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	l := testLeader()
	w := l.addContacted("w")
	first := l.target(w).Token
	add := func(job string, n run) *run {
		n.key, n.worker, n.unit, n.incarnation = runKey{TaskID{Job: job}, 1}, w, ledger.UnitID{Job: job}, 1
		n.settledAt, n.startToken, n.accepted = now, first, true
		w.runs[n.key] = &n
		return &n
	}
	beside := add("beside", run{reported: true})
	cause := add("cause", run{proof: proof{openStarts: 1}})
	reported := add("reported", run{proof: proof{openStarts: 1}, reported: true})
	is.True(l.applyReport(w, Report{Incarnation: 2}, l.exchange(w, now.Add(time.Second))))
	for _, n := range []*run{beside, cause, reported} {
		is.True(!n.endProposed) // the new incarnation has not seen its token
	}
	outcomes := make(map[string]ledger.RunOutcome)
	for _, r := range l.endAbsent(w, nil, now.Add(2*time.Second), now) {
		outcomes[r.End.Unit.Job] = r.End.Outcome
	}
	is.Equal(outcomes, map[string]ledger.RunOutcome{"beside": ledger.WorkerLost, "cause": ledger.WorkerCrashed, "reported": ledger.WorkerLost})
}

// Guards against blaming a task for a crash that did not happen, because a request to an earlier incarnation started it on the present one.
func TestLostOnNextIncarnation(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	l := testLeader()
	w := l.addContacted("w")
	n := &run{key: runKey{TaskID{Job: "a"}, 1}, worker: w, unit: ledger.UnitID{Job: "a"}, incarnation: 1, proof: proof{openStarts: 1, startToken: l.target(w).Token}}
	w.runs[n.key] = n
	is.True(l.applyReport(w, Report{Incarnation: 2}, l.exchange(w, now)))
	l.applyReport(w, Report{Incarnation: 2, Running: []RunningTask{{Task: n.key.task, Run: 1}}}, l.exchange(w, now))
	is.True(!n.endProposed)
	ends := l.endAbsent(w, nil, time.Now().Add(time.Second), now)
	is.Equal(len(ends), 1)
	is.Equal(ends[0].End.Outcome, ledger.WorkerLost)
}

// Guards against a log that blames the wrong limit for a run that counted as lost too soon.
func TestLossBound(t *testing.T) {
	now := time.Now()
	inherited := &run{inherited: true}
	tests := []struct {
		name       string
		run        *run
		leasesEnd  time.Time
		lastAnswer time.Time
		cause      lossCause
		want       string
	}{
		{"lease", &run{}, now, now.Add(-10 * time.Second), lossUnreachable, "lease"},
		{"silence", &run{}, now, now, lossUnreachable, "silence"},
		{"late start of an earlier leader", inherited, now, now, lossUnreachable, "late start"},
		{"departed", inherited, now, now, lossVanished, "machine list"},
		{"restarted", &run{}, now, now, lossRestarted, "report"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			l := testLeader()
			is.Equal(l.lossBound(&worker{leasesEnd: tt.leasesEnd, lastAnswer: tt.lastAnswer}, tt.run, tt.cause), tt.want)
		})
	}
}
