package schedule

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"jasminelane.example/lane/record"
	"jasminelane.example/lane/state"
)

// run submits small jobs of the accounts in turn, fourteen each 10 s for the
// given time, which use most of the cluster, and stops early when done says so.
func (c *cluster) run(prefix string, accounts []string, millis int64, done func() bool) {
	for i := 0; int64(i)*10_000 < millis && !done(); i++ {
		for k := range 14 {
			c.submit(fmt.Sprintf("%s%04d-%d", prefix, i, k), accounts[k%len(accounts)], "1x1@worker", 20_000, nil)
		}
		c.round()
		c.at += 10_000
	}
}

// Guards against a worker that fails every task it starts and keeps attracting
// jobs, and against one that stays out of service for ever.
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
	since := c.at
	c.run("b", []string{"asha", "ben"}, 30*60_000, func() bool { return !aside() })
	is.True(!aside())
	first := c.at - since
	is.True(first >= quarantineDelay)
	c.run("c", []string{"asha", "ben"}, 30*60_000, aside)
	is.True(aside()) // it still fails
	since = c.at
	c.faulty[0] = false
	c.run("d", []string{"asha", "ben"}, 60*60_000, func() bool { return !aside() })
	is.True(c.at-since >= 2*quarantineDelay)
	c.run("e", []string{"asha", "ben"}, 10*60_000, aside)
	is.True(!aside()) // it no longer fails
}

// Guards against one bad job, or one account's bad jobs, that set workers
// aside, and against returning what an operator set aside.
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
