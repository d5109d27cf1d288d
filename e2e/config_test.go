package e2e

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"jasminelane.example/lane/client"
	"jasminelane.example/lane/operator"
	"jasminelane.example/lane/record"
	"jasminelane.example/lane/standin"
	"jasminelane.example/lane/state"
)

// getConfig reads a configuration record from an instance.
func getConfig(c *cluster, p *process, name string) (operator.Config, error) {
	return client.CallOperator[operator.Config](c.t.Context(), p.operatorClient(), http.MethodGet, "/v1/config/"+name, nil, nil)
}

// TestRacingOperators guards against two concurrent publishes of one record that
// are both reported as accepted.
func TestRacingOperators(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, 3)
	base := uint64(0)
	for round := range 5 {
		var mu sync.Mutex
		var accepted []operator.PublishResult
		var conflicts []*operator.Refusal
		var wg sync.WaitGroup
		for i := range 9 {
			wg.Go(func() {
				p := c.live()[i%3]
				body := fmt.Appendf(nil, `{"weight":%d}`, round*9+i+1)
				out, err := p.operatorClient().Publish(t.Context(), "account/asha", base, 1, 1, body)
				mu.Lock()
				defer mu.Unlock()
				var r *operator.Refusal
				switch {
				case err == nil:
					accepted = append(accepted, out)
				case errors.As(err, &r):
					conflicts = append(conflicts, r)
				default:
					t.Error(err)
				}
			})
		}
		wg.Wait()
		is.Equal(len(accepted), 1)
		is.Equal(len(conflicts), 8)
		for _, r := range conflicts {
			is.Equal(r.Outcome, record.RequestNotRun)
			is.Equal(r.Reason, string(state.ReasonConflict))
			is.Equal(r.Detail, fmt.Sprint(accepted[0].Version))
		}
		base = accepted[0].Version
	}
	c.awaitConverged(5 * time.Second)
}

// TestInForceEverywhere guards against a publish that is reported before all
// nine instances have applied the version, or later than 4 s.
func TestInForceEverywhere(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, 9)
	base := uint64(0)
	for i := range 10 {
		body := fmt.Appendf(nil, `{"weight":%d}`, i+1)
		out, err := c.live()[i%9].operatorClient().Publish(t.Context(), "account/asha", base, 1, 1, body)
		is.NoErr(err)
		is.Equal(len(out.Instances), 9)
		for _, f := range out.Instances {
			is.True(f.Applied)
		}
		for _, p := range c.live() {
			got, err := getConfig(c, p, "account/asha")
			is.NoErr(err)
			is.Equal(got.Version, out.Version)
			is.Equal(string(got.Body), string(body))
		}
		base = out.Version
	}
}

// TestKillDuringPublish guards against an accepted version that is lost or
// reverted, and against a wrong outcome, when the publishing instance is killed
// at any step. The delays of the kill cover the whole publish.
func TestKillDuringPublish(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, 3)
	base := uint64(0)
	var last []byte
	for i, delay := range []time.Duration{0, 300 * time.Microsecond, 600 * time.Microsecond, time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond} {
		publisher := c.live()[0]
		body := fmt.Appendf(nil, `{"weight":%d}`, i+1)
		type answer struct {
			out operator.PublishResult
			err error
		}
		got := make(chan answer, 1)
		go func() {
			out, err := publisher.operatorClient().Publish(t.Context(), "account/asha", base, 1, 1, body)
			got <- answer{out, err}
		}()
		time.Sleep(delay) // selects the step at which the instance is killed
		c.killInstance(publisher)
		a := <-got
		c.addInstance(fmt.Sprintf("k%d", i))
		c.awaitReady(3)
		c.awaitConverged(10 * time.Second)
		now, err := getConfig(c, c.live()[0], "account/asha")
		switch {
		case err != nil:
			is.Equal(base, uint64(0)) // only the first version may be missing
			is.True(a.err != nil)
		case a.err == nil:
			is.Equal(now.Version, a.out.Version)
			is.Equal(string(now.Body), string(body))
		case now.Version == base:
			is.Equal(string(now.Body), string(last))
		default:
			is.Equal(string(now.Body), string(body))
		}
		if err == nil {
			base, last = now.Version, now.Body
		}
	}
}

// TestLostAnswers guards against a publish that fails or is applied twice when
// the log's response is lost.
func TestLostAnswers(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, 3)
	base := uint64(0)
	for i := range 6 {
		n := 1 + i%3
		if i%2 == 0 {
			c.log.Fault(standin.LogFault{LoseResponses: &n})
		} else {
			c.log.Fault(standin.LogFault{DropAppends: &n})
		}
		out, err := c.live()[i%3].operatorClient().Publish(t.Context(), "account/asha", base, 1, 1, fmt.Appendf(nil, `{"weight":%d}`, i+1))
		is.NoErr(err)
		base = out.Version
	}
	c.awaitConverged(5 * time.Second)
}

// TestBadRecords guards against invalid records that change the configuration,
// and against refusals that do not name the invalid field.
func TestBadRecords(t *testing.T) {
	c := startCluster(t, 1)
	c.publishResources(1, 0)
	before := c.awaitConverged(5 * time.Second)
	tests := []struct {
		name, body string
		reason     state.Reason
		detail     string
	}{
		{"account/zed", `{"weight":-1}`, state.ReasonField, "weight"},
		{"account/zed", `{"weight":"heavy"}`, state.ReasonField, "weight"},
		{"account/zed", `{"guarantees":[{"shape":"4x2","count":1}]}`, state.ReasonField, "guarantees[0].shape"},
		{"account/zed", `{"guarantees":[{"shape":"1x8@rack","count":0}]}`, state.ReasonField, "guarantees[0].count"},
		{"account/zed", `{"guarantees":[{"shape":"1x1@worker","count":1},{"shape":"2x8@rack","count":1}]}`, state.ReasonInfeasible, "guarantees"},
		{"rack/zed", `{"domain":""}`, state.ReasonField, "domain"},
		{"rack/zed", `{"domain":"kochi","workers":[{"name":"w","gpus":65}]}`, state.ReasonField, "workers[0].gpus"},
		{"service/zed", `{"servers":[{"name":"s"}]}`, state.ReasonField, "servers[0].addr"},
		{"tenant/zed", `{}`, state.ReasonField, "name"},
		{"account/zed", `{"note":"` + strings.Repeat("x", state.MaxConfigBytes) + `"}`, state.ReasonField, "body"},
		{"account/zed", `not json`, state.ReasonField, "body"},
	}
	for _, tt := range tests {
		t.Run(tt.name+" "+tt.body[:min(30, len(tt.body))], func(t *testing.T) {
			is := is.New(t)
			_, err := c.live()[0].operatorClient().Publish(t.Context(), tt.name, 0, 1, 1, []byte(tt.body))
			var r *operator.Refusal
			is.True(errors.As(err, &r))
			is.Equal(r.Outcome, record.RequestNotRun)
			is.Equal(r.Reason, string(tt.reason))
			is.True(strings.Contains(r.Detail, tt.detail))
		})
	}
	after := c.awaitConverged(5 * time.Second)
	is.New(t).Equal(after.Configs, before.Configs)
}

// TestMixedSchemas guards against records that an older version of the program
// applies only in part, and against lost fields of a newer schema.
func TestMixedSchemas(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, 2)
	body := []byte(`{"weight":2,"colour":"saffron","limits":{"burst":7}}`)
	out, err := c.live()[0].operatorClient().Publish(t.Context(), "account/asha", 0, 2, 1, body)
	is.NoErr(err)
	got, err := getConfig(c, c.live()[1], "account/asha")
	is.NoErr(err)
	is.Equal(string(got.Body), string(body))
	is.Equal(got.Schema, uint16(2))

	_, err = c.live()[0].operatorClient().Publish(t.Context(), "account/asha", out.Version, 3, record.Version+1, []byte(`{"weight":3}`))
	var r *operator.Refusal
	is.True(errors.As(err, &r))
	is.Equal(r.Reason, string(state.ReasonUpgrade))
	got, err = getConfig(c, c.live()[1], "account/asha")
	is.NoErr(err)
	is.Equal(got.Version, out.Version)
}

// TestExpiryAndReplacement guards against a configuration that reverts after all
// records before the newest snapshot have expired and every instance was
// replaced.
func TestExpiryAndReplacement(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, 2)
	c.publishResources(1, 0)
	base := uint64(0)
	var body []byte
	for i := range 80 { // more than the 60 records between snapshots
		body = fmt.Appendf(nil, `{"weight":%d}`, i+1)
		out, err := c.live()[0].operatorClient().Publish(t.Context(), "account/kala", base, 1, 1, body)
		is.NoErr(err)
		base = out.Version
	}
	var snap uint64
	c.eventually(20*time.Second, "no snapshot", func() bool {
		st, err := c.live()[0].status(t.Context())
		is.NoErr(err)
		snap = st.Replica.Snap
		return snap > 0
	})
	c.awaitConverged(5 * time.Second)
	first := snapshotStart(c, snap)
	c.log.Fault(standin.LogFault{ExpireBefore: &first})
	for i, p := range c.live() {
		c.addInstance(fmt.Sprintf("n%d", i))
		c.awaitReady(2)
		c.killInstance(p)
	}
	c.awaitReady(2)
	c.awaitConverged(10 * time.Second)
	got, err := getConfig(c, c.live()[0], "account/kala")
	is.NoErr(err)
	is.Equal(got.Version, base)
	is.Equal(string(got.Body), string(body))
	accounts, err := client.CallOperator[[]operator.Account](t.Context(), c.live()[0].operatorClient(), http.MethodGet, "/v1/accounts", nil, nil)
	is.NoErr(err)
	data, err := json.Marshal(accounts)
	is.NoErr(err)
	is.True(strings.Contains(string(data), `"guaranteed":16`))
}

// snapshotStart returns the first log offset that is needed to load the newest
// snapshot that ends before the given offset.
func snapshotStart(c *cluster, end uint64) uint64 {
	first, entries := c.log.Entries()
	id := ""
	for i := int(end-first) - 1; i >= 0; i-- {
		b, err := record.Decode(entries[i])
		if err != nil {
			continue
		}
		for _, r := range b.Records {
			if r.Kind != record.KindChunk {
				continue
			}
			chunk, err := record.Body[record.Chunk](r)
			if err != nil {
				c.t.Fatal(err)
			}
			if id == "" || id == chunk.Snapshot {
				id = chunk.Snapshot
				if chunk.Index == 0 {
					// The entries from the snapshot's state offset on are needed too.
					return min(first+uint64(i), chunk.Offset)
				}
			}
		}
	}
	c.t.Fatal("no snapshot in the log")
	return 0
}

// TestFrozenInstance guards against a paused instance that acts on stale state.
// It is paused while a newer version is published. Afterwards it must neither
// revert that version nor be ready with the old one.
func TestFrozenInstance(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, 3)
	frozen := c.live()[0]
	out, err := frozen.operatorClient().Publish(t.Context(), "account/asha", 0, 1, 1, []byte(`{"weight":1}`))
	is.NoErr(err)
	frozen.signal(syscall.SIGSTOP)
	c.directory.Set(nil) // a lagging list without any instance, so the paused one is evicted
	next, err := c.live()[1].operatorClient().Publish(t.Context(), "account/asha", out.Version, 1, 1, []byte(`{"weight":2}`))
	is.NoErr(err)
	evicted := func() bool {
		list, err := client.CallOperator[[]operator.Instance](t.Context(), c.live()[1].operatorClient(), http.MethodGet, "/v1/instances", nil, nil)
		return err == nil && len(list) == 2
	}
	c.eventually(45*time.Second, "the paused instance is not evicted", evicted)
	frozen.signal(syscall.SIGCONT)
	c.publishList()
	c.eventually(20*time.Second, "the paused instance does not join again", func() bool { return !evicted() })
	c.awaitReady(3)
	c.awaitConverged(10 * time.Second)
	got, err := getConfig(c, c.live()[1], "account/asha")
	is.NoErr(err)
	is.Equal(got.Version, next.Version)
}
