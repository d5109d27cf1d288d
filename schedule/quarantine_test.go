package schedule

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"jasminelane.example/lane/record"
	"jasminelane.example/lane/state"
)

// run submits fourteen small jobs every 10 s, of the accounts in turn, which use
// most of the cluster. It ends after the given time, or earlier when done
// returns true.
func (c *cluster) run(prefix string, accounts []string, millis int64, done func() bool) {
	for i := 0; int64(i)*10_000 < millis && !done(); i++ {
		for k := range 14 {
			c.submit(fmt.Sprintf("%s%04d-%d", prefix, i, k), accounts[k%len(accounts)], "1x1@worker", 20_000, nil)
		}
		c.round()
		c.at += 10_000
	}
}

// TestQuarantine guards against a worker on which every task fails but which stays
// in service, so that further jobs are placed on it, and against a quarantined
// worker that never returns to service.
func TestQuarantine(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1, 2, 4, 4)
	c.account("asha", state.AccountBody{})
	c.account("ben", state.AccountBody{})
	w := c.state.Workers[0]
	c.faulty[0] = true
	aside := func() bool { return w.Condition == record.ConditionAside }
	c.run("a", []string{"asha", "ben"}, 30*60_000, aside)
	is.True(aside())
	quarantinedAt := c.at
	c.run("b", []string{"asha", "ben"}, 30*60_000, func() bool { return !aside() })
	is.True(!aside())
	firstDelay := c.at - quarantinedAt
	is.True(firstDelay >= Quarantine{}.withDefaults().ProbeDelayMs)
	c.run("c", []string{"asha", "ben"}, 30*60_000, aside)
	is.True(aside()) // it still fails
	quarantinedAt = c.at
	c.faulty[0] = false
	c.run("d", []string{"asha", "ben"}, 60*60_000, func() bool { return !aside() })
	is.True(c.at-quarantinedAt >= 2*Quarantine{}.withDefaults().ProbeDelayMs)
	c.run("e", []string{"asha", "ben"}, 10*60_000, aside)
	is.True(!aside()) // it no longer fails
}

// TestQuarantineSparesWorkers guards against quarantine because of one faulty
// job or the faulty jobs of one account, and against the return to service of a
// worker that an operator set aside.
func TestQuarantineSparesWorkers(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1, 2, 4, 4)
	c.account("asha", state.AccountBody{})
	c.account("ben", state.AccountBody{})
	w := c.state.Workers[0]
	c.faulty[0] = true
	aside := func() bool { return w.Condition == record.ConditionAside }
	c.run("a", []string{"asha"}, 10*60_000, aside)
	is.True(!aside())
	o := c.state.Workers[7]
	c.must(record.KindHealth, record.Health{Worker: 7, Revision: o.Revision, Condition: record.ConditionAside})
	c.run("b", []string{"ben"}, 10*60_000, func() bool { return false })
	is.Equal(o.Condition, record.ConditionAside)
}

// TestSuspect guards against quarantine of a worker because of the faults of one
// job or account, and against a worker that stays in service although tasks fail
// only there.
func TestSuspect(t *testing.T) {
	const now = 100_000_000
	fail := func(job, account string, ago int64) state.Failure {
		return state.Failure{Job: job, Account: account, At: now - ago}
	}
	three := []state.Failure{fail("a", "asha", 3), fail("b", "asha", 2), fail("c", "binu", 1)}
	tests := []struct {
		name     string
		worker   state.Worker
		others   state.Worker
		jobs     state.JobPhase // of the jobs now
		failedOn []uint32
		want     bool
	}{
		{"jobs succeed elsewhere", state.Worker{RecentFailed: 3, RecentDone: 9, Failures: three}, state.Worker{RecentFailed: 9, RecentDone: 9}, state.JobDone, nil, true},
		{"fails most, others do not", state.Worker{RecentFailed: 3, RecentDone: 2, Failures: three}, state.Worker{RecentFailed: 2, RecentDone: 9}, state.JobWaiting, nil, true},
		{"fails some", state.Worker{RecentFailed: 3, RecentDone: 3, Failures: three}, state.Worker{RecentFailed: 2, RecentDone: 9}, state.JobWaiting, nil, false},
		{"all fail", state.Worker{RecentFailed: 3, Failures: three}, state.Worker{RecentFailed: 3, RecentDone: 9}, state.JobWaiting, nil, false},
		{"nothing known of others", state.Worker{RecentFailed: 3, Failures: three}, state.Worker{}, state.JobWaiting, nil, false},
		{"two jobs", state.Worker{RecentFailed: 3, Failures: append([]state.Failure{three[0]}, fail("a", "binu", 1), fail("b", "asha", 1))}, state.Worker{RecentDone: 9}, state.JobDone, nil, false},
		{"one account", state.Worker{RecentFailed: 3, Failures: []state.Failure{three[0], three[1], fail("c", "asha", 1)}}, state.Worker{RecentDone: 9}, state.JobDone, nil, false},
		{"long ago", state.Worker{RecentFailed: 3, Failures: []state.Failure{three[0], three[1], fail("c", "binu", 1_800_001)}}, state.Worker{RecentDone: 9}, state.JobDone, nil, false},
		{"before it was returned", state.Worker{RecentFailed: 3, ConditionSince: now, Failures: three}, state.Worker{RecentDone: 9}, state.JobDone, nil, false},
		{"on probation", state.Worker{RecentFailed: 1, QuarantineCount: 1, Failures: three[:1]}, state.Worker{RecentDone: 9}, state.JobWaiting, []uint32{0}, true},
		{"on probation, bad job", state.Worker{RecentFailed: 1, QuarantineCount: 1, Failures: three[:1]}, state.Worker{RecentDone: 9}, state.JobWaiting, []uint32{1, 0}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := &state.State{Now: now, Jobs: map[string]*state.Job{}, Workers: []*state.Worker{&tt.worker, &tt.others}}
			tt.others.Index = 1
			for _, id := range []string{"a", "b", "c"} {
				s.Jobs[id] = &state.Job{ID: id, Phase: tt.jobs, FailedOn: tt.failedOn}
			}
			got := Quarantine{}.IsFaulty(s, &tt.worker, float64(tt.others.RecentDone), float64(tt.others.RecentFailed), now)
			is.New(t).Equal(got, tt.want)
		})
	}
}

// TestDue guards against probes without delay, probes that never come, and the
// return to service of a worker that an operator set aside.
func TestDue(t *testing.T) {
	tests := []struct {
		cause   string
		strikes uint32
		after   int64 // ms
		want    bool
	}{
		{state.CauseFailures, 1, 59_999, false},
		{state.CauseFailures, 1, 60_000, true},
		{state.CauseFailures, 3, 239_999, false},
		{state.CauseFailures, 3, 240_000, true},
		{state.CauseFailures, 99, 3_600_000, true}, // an hour at most
		{"operator", 1, 3_600_000, false},
	}
	for _, tt := range tests {
		w := &state.Worker{Condition: record.ConditionAside, Cause: tt.cause, QuarantineCount: tt.strikes, ConditionSince: 5}
		is.New(t).Equal(Quarantine{}.ProbeDue(w, 5+tt.after), tt.want)
	}
}
