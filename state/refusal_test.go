package state

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"strings"
	"testing"

	"github.com/matryer/is"

	"jasminelane.example/lane/record"
	"jasminelane.example/lane/shape"
)

// testNow is the state's clock in a new fixture, Unix milliseconds.
const testNow = 1_796_361_383_000

// fixture applies records to a state that has rack r1 with workers 0 to 3, rack r2
// with worker 4, each worker with 4 accelerators, and the accounts asha (one block
// of 2x4@rack on workers 0 and 1), binu (quota 8) and chitra.
type fixture struct {
	t   testing.TB
	s   *State
	seq map[string]uint64
}

func newFixture(t testing.TB) *fixture {
	c := &fixture{t: t, s: &State{}, seq: map[string]uint64{}}
	w := func(name string) WorkerBody { return WorkerBody{Name: name, GPUs: 4, Cores: 16, Memory: 64} }
	c.mustApply("a", record.KindJoin, record.Join{Name: "kochi-1", Version: 1})
	c.mustApply("a", record.KindPublish, publish("rack/r1", 0, RackBody{Domain: "kochi", Workers: []WorkerBody{w("w0"), w("w1"), w("w2"), w("w3")}}))
	c.mustApply("a", record.KindPublish, publish("rack/r2", 0, RackBody{Domain: "kochi", Workers: []WorkerBody{w("w4")}}))
	p := publish("account/asha", 0, AccountBody{Guarantees: []GuaranteeBody{{"2x4@rack", 1}}})
	p.Blocks = []record.Block{{Slots: slots(0, 1)}}
	c.mustApply("a", record.KindPublish, p)
	c.mustApply("a", record.KindPublish, publish("account/binu", 0, AccountBody{Quota: 8}))
	c.mustApply("a", record.KindPublish, publish("account/chitra", 0, AccountBody{}))
	return c
}

// publish returns a publication of the body as JSON.
func publish(name string, base uint64, body any) record.Publish {
	data, _ := json.Marshal(body)
	return record.Publish{Name: name, Base: base, Body: data}
}

// slots returns slots with all accelerators of the workers.
func slots(workers ...uint32) []shape.Slot {
	var out []shape.Slot
	for _, w := range workers {
		out = append(out, shape.Slot{Worker: w, Mask: 0xf})
	}
	return out
}

// batch returns the next batch of the writer.
func (c *fixture) batch(writer string, recs ...record.Record) *record.Batch {
	return &record.Batch{Writer: writer, Seq: c.seq[writer] + 1, At: max(c.s.Now, testNow), MinVersion: 1, Records: recs}
}

// apply applies the batch and checks the invariants.
func (c *fixture) apply(b *record.Batch) []Decision {
	c.t.Helper()
	out, err := c.s.Apply(c.s.Offset, b)
	if err != nil {
		c.t.Fatal(err)
	}
	if w := c.s.Writers[b.Writer]; w != nil {
		c.seq[b.Writer] = w.Seq
	}
	if err := c.s.Check(); err != nil {
		c.t.Fatal(err)
	}
	return out
}

// propose applies one record and returns the decision on it.
func (c *fixture) propose(writer string, kind record.Kind, body any) Decision {
	c.t.Helper()
	return c.apply(c.batch(writer, newRecord(c.t, kind, body)))[0]
}

// mustApply applies one record that must be accepted.
func (c *fixture) mustApply(writer string, kind record.Kind, body any) {
	c.t.Helper()
	if o := c.propose(writer, kind, body); !o.Accepted() {
		c.t.Fatalf("%s: %s %s", kind, o.Reason, o.Detail)
	}
}

// submit submits a job that takes whole workers of one rack.
func (c *fixture) submit(job, account string, members int, once bool) *Job {
	c.t.Helper()
	c.mustApply("a", record.KindSubmit, record.Submit{Job: job, Account: account, Shape: shape.Shape{Members: members, GPUs: 4, Level: shape.LevelRack}, Once: once, Checkpoint: true})
	return c.s.Jobs[job]
}

// placeJob submits a job and places it on the workers.
func (c *fixture) placeJob(job, account string, once bool, workers ...uint32) *Job {
	c.t.Helper()
	j := c.submit(job, account, len(workers), once)
	c.mustApply("a", record.KindPlace, record.Place{Job: job, Revision: j.Revision, Slots: slots(workers...)})
	return j
}

// run submits a job, places it on the workers and starts it.
func (c *fixture) run(job, account string, once bool, workers ...uint32) *Job {
	c.t.Helper()
	j := c.placeJob(job, account, once, workers...)
	c.mustApply("a", record.KindStart, record.Start{Job: job, Token: j.Token})
	return j
}

// report applies a result of the job on the worker.
func (c *fixture) report(j *Job, worker uint32, o record.RunOutcome) Decision {
	return c.propose("a", record.KindReport, record.Report{Worker: worker, Results: []record.Result{{Job: j.ID, Token: j.Token, Outcome: o, Progress: 0.5}}})
}

// health changes the worker's condition.
func (c *fixture) health(worker uint32, cond record.Condition) {
	c.t.Helper()
	c.mustApply("a", record.KindHealth, record.Health{Worker: worker, Revision: c.s.Workers[worker].Revision, Condition: cond})
}

// request returns the id of a request created at testNow plus ms.
func request(ms int64) string { return fmt.Sprintf("%d-1", testNow+ms) }

// TestRefusals guards against invalid records that are accepted, and against
// refusals with a wrong reason or detail.
func TestRefusals(t *testing.T) {
	one := shape.Shape{Members: 1, GPUs: 4, Level: shape.LevelRack}
	spec := func(f func(*record.Submit)) func(*fixture) (record.Kind, any) {
		return func(*fixture) (record.Kind, any) {
			v := record.Submit{Job: "j", Account: "chitra", Shape: one}
			f(&v)
			return record.KindSubmit, v
		}
	}
	place := func(f func(c *fixture, p *record.Place)) func(*fixture) (record.Kind, any) {
		return func(c *fixture) (record.Kind, any) {
			j := c.submit("j", "chitra", 1, false)
			p := record.Place{Job: "j", Revision: j.Revision, Slots: slots(2)}
			f(c, &p)
			return record.KindPlace, p
		}
	}
	config := func(name, body string) func(*fixture) (record.Kind, any) {
		return func(c *fixture) (record.Kind, any) {
			p := record.Publish{Name: name, Body: []byte(body)}
			if cur := c.s.Configs[name]; cur != nil {
				p.Base = cur.Version
			}
			return record.KindPublish, p
		}
	}
	result := func(r record.Result) func(*fixture) (record.Kind, any) {
		return func(c *fixture) (record.Kind, any) {
			j := c.run("j", "chitra", false, 2)
			r.Job, r.Token = "j", j.Token-r.Token
			return record.KindReport, record.Report{Worker: 2, Results: []record.Result{r}}
		}
	}
	tests := []struct {
		name   string
		record func(*fixture) (record.Kind, any)
		want   Reason
		detail string
	}{
		{"kind", func(*fixture) (record.Kind, any) { return "nonsense", record.Fence{} }, ReasonKind, "nonsense"},
		{"corrupt", func(*fixture) (record.Kind, any) { return record.KindSubmit, []int{1} }, ReasonCorrupt, ""},
		{"join name", func(*fixture) (record.Kind, any) { return record.KindJoin, record.Join{Version: 1} }, ReasonField, "name"},
		{"join twice", func(*fixture) (record.Kind, any) { return record.KindJoin, record.Join{Name: "kochi-1", Version: 1} }, ReasonExists, "a"},
		{"join too old", func(c *fixture) (record.Kind, any) {
			c.s.Configs["policy/b"] = &Config{Name: "policy/b", MinVersion: 2}
			c.s.Configs["policy/a"] = &Config{Name: "policy/a", MinVersion: 2}
			c.s.Configs["policy/0"] = &Config{Name: "policy/0", MinVersion: 2, Deleted: true}
			return record.KindJoin, record.Join{Name: "kochi-2", Version: 1}
		}, ReasonUpgrade, "policy/a"},
		{"evict unknown", func(*fixture) (record.Kind, any) { return record.KindEvict, record.Evict{Writer: "z"} }, ReasonUnknown, "z"},
		{"publish conflict", func(c *fixture) (record.Kind, any) {
			return record.KindPublish, publish("account/binu", 1, AccountBody{})
		}, ReasonConflict, "5"},
		{"publish upgrade", func(*fixture) (record.Kind, any) {
			return record.KindPublish, record.Publish{Name: "policy/x", MinVersion: 2, Body: []byte("{}")}
		}, ReasonUpgrade, "kochi-1"},
		{"publish reader", func(c *fixture) (record.Kind, any) {
			c.s.Members[0].Version = 2
			return record.KindPublish, record.Publish{Name: "policy/x", MinVersion: 2, Body: []byte("{}")}
		}, ReasonField, "reader"},
		{"publish family", config("row/x", "{}"), ReasonField, "family"},
		{"publish name", config("account/", "{}"), ReasonField, "name"},
		{"publish array", config("account/x", "[]"), ReasonField, "body"},
		{"publish more", config("account/x", "{}]"), ReasonField, "body"},
		{"publish type", config("account/x", `{"quota":"8"}`), ReasonField, "quota"},
		{"publish weight", config("account/x", `{"weight":-1}`), ReasonField, "weight"},
		{"publish shape", config("account/x", `{"guarantees":[{"shape":"4x2","count":1}]}`), ReasonField, "guarantees[0].shape"},
		{"publish quota", config("account/x", `{"quota":4,"guarantees":[{"shape":"2x4@rack","count":1}]}`), ReasonField, "quota"},
		{"publish no block", config("account/x", `{"guarantees":[{"shape":"1x4@rack","count":1}]}`), ReasonInfeasible, "guarantees[0]"},
		{"publish overlap", func(*fixture) (record.Kind, any) {
			p := publish("account/x", 0, AccountBody{Guarantees: []GuaranteeBody{{"1x4@rack", 1}}})
			p.Blocks = []record.Block{{Slots: slots(0)}}
			return record.KindPublish, p
		}, ReasonInfeasible, "asha"},
		{"publish own overlap", func(*fixture) (record.Kind, any) {
			p := publish("account/x", 0, AccountBody{Guarantees: []GuaranteeBody{{"1x4@rack", 2}}})
			p.Blocks = []record.Block{{Slots: slots(2)}, {Copy: 1, Slots: slots(2)}}
			return record.KindPublish, p
		}, ReasonInfeasible, "another block of the account"},
		{"publish over fixed work", func(c *fixture) (record.Kind, any) {
			c.run("once", "chitra", true, 2)
			p := publish("account/x", 0, AccountBody{Guarantees: []GuaranteeBody{{"1x4@rack", 1}}})
			p.Blocks = []record.Block{{Slots: slots(2)}}
			return record.KindPublish, p
		}, ReasonBusy, "once"},
		{"publish over finished member", func(c *fixture) (record.Kind, any) {
			c.report(c.run("once", "chitra", true, 2, 3), 2, record.RunDone)
			p := publish("account/x", 0, AccountBody{Guarantees: []GuaranteeBody{{"1x4@rack", 1}}})
			p.Blocks = []record.Block{{Slots: slots(2)}}
			return record.KindPublish, p
		}, ReasonBusy, "once"},
		{"delete unknown", config("rack/none", ""), ReasonUnknown, "rack/none"},
		{"delete account", func(c *fixture) (record.Kind, any) {
			c.submit("j", "chitra", 1, false)
			return config("account/chitra", "")(c)
		}, ReasonBusy, "not ended"},
		{"rack domain", config("rack/r2", `{"domain":"thrissur"}`), ReasonField, "domain"},
		{"rack worker elsewhere", config("rack/r2", `{"domain":"kochi","workers":[{"name":"w0","gpus":4}]}`), ReasonField, "workers[0].name"},
		{"rack worker removed", config("rack/r1", `{"domain":"kochi"}`), ReasonBusy, "w0"},
		{"rack worker resized", func(c *fixture) (record.Kind, any) {
			c.placeJob("j", "chitra", false, 4)
			return config("rack/r2", `{"domain":"kochi","workers":[{"name":"w4","gpus":8}]}`)(c)
		}, ReasonBusy, "workers[0].gpus"},
		{"service", config("service/s", `{"servers":[{"name":"b"}]}`), ReasonField, "servers[0].addr"},
		{"submit id", spec(func(v *record.Submit) { v.Job = "" }), ReasonField, "job"},
		{"submit input", spec(func(v *record.Submit) { v.Input = strings.Repeat("x", MaxInputBytes+1) }), ReasonField, "input"},
		{"submit shape", spec(func(v *record.Submit) { v.Shape.Members = 0 }), ReasonField, "shape"},
		{"submit cores", spec(func(v *record.Submit) { v.Cores = math.NaN() }), ReasonField, "cores"},
		{"submit memory", spec(func(v *record.Submit) { v.Memory = math.Inf(1) }), ReasonField, "memory"},
		{"submit expect", spec(func(v *record.Submit) { v.ExpectedMs = -1 }), ReasonField, "expect"},
		{"submit account", spec(func(v *record.Submit) { v.Account = "none" }), ReasonUnknown, "none"},
		{"submit quota", spec(func(v *record.Submit) { v.Account, v.Shape.Members = "binu", 3 }), ReasonQuota, "quota is 8"},
		{"submit impossible", spec(func(v *record.Submit) { v.Shape.Members = 5 }), ReasonImpossible, "rack"},
		{"submit share", spec(func(v *record.Submit) { v.Cores = 4.1 }), ReasonShare, ""},
		{"submit other", func(c *fixture) (record.Kind, any) {
			c.submit("j", "chitra", 1, false)
			return record.KindSubmit, record.Submit{Job: "j", Account: "chitra", Shape: one}
		}, ReasonExists, "j"},
		{"cancel unknown", func(*fixture) (record.Kind, any) { return record.KindCancel, record.Cancel{Job: "j"} }, ReasonUnknown, "j"},
		{"cancel ended", func(c *fixture) (record.Kind, any) {
			c.report(c.run("j", "chitra", false, 2), 2, record.RunDone)
			return record.KindCancel, record.Cancel{Job: "j"}
		}, ReasonPhase, "done"},
		{"cancel job with unknown fate", func(c *fixture) (record.Kind, any) {
			c.run("j", "chitra", true, 2)
			c.health(2, record.ConditionLost)
			return record.KindCancel, record.Cancel{Job: "j"}
		}, ReasonPhase, "unknown"},
		{"place unknown", place(func(_ *fixture, p *record.Place) { p.Job = "x" }), ReasonUnknown, "x"},
		{"place stale", place(func(_ *fixture, p *record.Place) { p.Revision-- }), ReasonStale, "j"},
		{"place grace", place(func(_ *fixture, p *record.Place) { p.GraceMs = MaxGraceMs + 1 }), ReasonField, "grace"},
		{"place worker", place(func(_ *fixture, p *record.Place) { p.Slots[0].Worker = 99 }), ReasonField, "slots[0]: no worker"},
		{"place mask", place(func(_ *fixture, p *record.Place) { p.Slots[0].Mask = 0x1f }), ReasonField, "accelerators"},
		{"place members", place(func(_ *fixture, p *record.Place) { p.Slots = slots(2, 3) }), ReasonField, "members"},
		{"place order", place(func(_ *fixture, p *record.Place) { p.Slots = slots(3, 2) }), ReasonField, "ascending"},
		{"place unit", place(func(_ *fixture, p *record.Place) { p.Slots = slots(3, 4) }), ReasonField, "not in one rack"},
		{"place multiple", place(func(_ *fixture, p *record.Place) { p.Slots[0].Mask = 7 }), ReasonField, "multiple"},
		{"place busy", place(func(c *fixture, _ *record.Place) { c.placeJob("k", "chitra", false, 2) }), ReasonBusy, "k"},
		{"place not ready", place(func(c *fixture, _ *record.Place) { c.health(2, record.ConditionAside) }), ReasonWorker, "w2"},
		{"place again", place(func(c *fixture, p *record.Place) { c.mustApply("a", record.KindPlace, *p) }), ReasonPhase, "holding"},
		{"place evicts without guarantee", place(func(c *fixture, p *record.Place) {
			p.Evict = []record.Victim{{Job: "k", Token: c.placeJob("k", "chitra", false, 2).Token}}
		}), ReasonGuarantee, "only a guaranteed"},
		{"place once in a foreign block", func(c *fixture) (record.Kind, any) {
			j := c.submit("j", "chitra", 1, true)
			return record.KindPlace, record.Place{Job: "j", Revision: j.Revision, Slots: slots(0)}
		}, ReasonGuarantee, "another account"},
		{"place over quota", func(c *fixture) (record.Kind, any) {
			c.placeJob("k", "binu", false, 2, 3)
			j := c.submit("j", "binu", 1, false)
			return record.KindPlace, record.Place{Job: "j", Revision: j.Revision, Slots: slots(4)}
		}, ReasonQuota, "binu"},
		{"evict unknown job", evicting(func(*fixture, *Job) record.Victim { return record.Victim{Job: "x"} }), ReasonUnknown, "x"},
		{"evict old token", evicting(func(_ *fixture, k *Job) record.Victim { return record.Victim{Job: "k", Token: k.Token - 1} }), ReasonToken, "k"},
		{"evict elsewhere", evicting(func(c *fixture, _ *Job) record.Victim {
			return record.Victim{Job: "m", Token: c.placeJob("m", "chitra", false, 2).Token}
		}), ReasonField, "evict[0]"},
		{"evict guaranteed", func(c *fixture) (record.Kind, any) {
			k := c.run("k", "asha", false, 0)
			j := c.submit("j", "asha", 1, false)
			return record.KindPlace, record.Place{Job: "j", Revision: j.Revision, Slots: slots(0), Evict: []record.Victim{{Job: "k", Token: k.Token}}}
		}, ReasonGuarantee, "cannot be evicted"},
		{"evict waiting", evicting(func(c *fixture, _ *Job) record.Victim {
			return record.Victim{Job: "w", Token: c.submit("w", "chitra", 1, false).Token}
		}), ReasonPhase, "w"},
		{"start unknown", func(*fixture) (record.Kind, any) { return record.KindStart, record.Start{Job: "j"} }, ReasonUnknown, "j"},
		{"start token", func(c *fixture) (record.Kind, any) {
			return record.KindStart, record.Start{Job: "j", Token: c.placeJob("j", "chitra", false, 2).Token - 1}
		}, ReasonToken, "j"},
		{"start twice", func(c *fixture) (record.Kind, any) {
			return record.KindStart, record.Start{Job: "j", Token: c.run("j", "chitra", false, 2).Token}
		}, ReasonPhase, "running"},
		{"start boots", func(c *fixture) (record.Kind, any) {
			return record.KindStart, record.Start{Job: "j", Token: c.placeJob("j", "chitra", false, 2).Token, Incarnations: []uint64{1, 2}}
		}, ReasonField, "boots"},
		{"abort running", func(c *fixture) (record.Kind, any) {
			return record.KindAbort, record.Abort{Job: "j", Token: c.run("j", "chitra", false, 2).Token}
		}, ReasonPhase, "running"},
		{"preempt holding", func(c *fixture) (record.Kind, any) {
			return record.KindPreempt, record.Preempt{Job: "j", Token: c.placeJob("j", "chitra", false, 2).Token}
		}, ReasonPhase, "holding"},
		{"preempt once", func(c *fixture) (record.Kind, any) {
			return record.KindPreempt, record.Preempt{Job: "j", Token: c.run("j", "chitra", true, 2).Token}
		}, ReasonGuarantee, "not repeatable"},
		{"preempt grace", func(c *fixture) (record.Kind, any) {
			return record.KindPreempt, record.Preempt{Job: "j", Token: c.run("j", "chitra", false, 2).Token, GraceMs: -1}
		}, ReasonField, "grace"},
		{"report worker", func(*fixture) (record.Kind, any) { return record.KindReport, record.Report{Worker: 99} }, ReasonUnknown, "99"},
		{"report token", result(record.Result{Token: 1, Outcome: record.RunDone}), ReasonToken, "j"},
		{"report outcome", result(record.Result{Outcome: "x"}), ReasonField, "results[0].out"},
		{"report progress", result(record.Result{Outcome: record.RunDone, Progress: math.NaN()}), ReasonField, "results[0].progress"},
		{"report ran", result(record.Result{Outcome: record.RunDone, RanMs: -1}), ReasonField, "results[0].ran"},
		{"health unknown", func(*fixture) (record.Kind, any) { return record.KindHealth, record.Health{Worker: 99} }, ReasonUnknown, "99"},
		{"health stale", func(*fixture) (record.Kind, any) {
			return record.KindHealth, record.Health{Worker: 2, Revision: 7, Condition: record.ConditionLost}
		}, ReasonStale, "w2"},
		{"health condition", func(*fixture) (record.Kind, any) { return record.KindHealth, record.Health{Worker: 2, Condition: "x"} }, ReasonField, "cond"},
		{"health same", func(*fixture) (record.Kind, any) { return record.KindHealth, record.Health{Worker: 2} }, ReasonPhase, "w2"},
		{"reserve unknown", func(*fixture) (record.Kind, any) { return record.KindReserve, record.Reserve{Account: "x"} }, ReasonUnknown, "x"},
		{"reserve stale", func(*fixture) (record.Kind, any) { return record.KindReserve, record.Reserve{Account: "asha"} }, ReasonStale, "asha"},
		{"reserve block", func(c *fixture) (record.Kind, any) {
			return record.KindReserve, record.Reserve{Account: "asha", Revision: c.s.Accounts["asha"].Revision, Block: record.Block{GuaranteeIndex: 1}}
		}, ReasonUnknown, "block 1.0"},
		{"reserve with guaranteed work", func(c *fixture) (record.Kind, any) {
			c.run("j", "asha", false, 0)
			return record.KindReserve, record.Reserve{Account: "asha", Revision: c.s.Accounts["asha"].Revision, Block: record.Block{Slots: slots(2, 3)}}
		}, ReasonGuarantee, "guaranteed work"},
		{"claim id", func(*fixture) (record.Kind, any) {
			return record.KindClaim, record.Claim{Request: "x", Account: "asha"}
		}, ReasonField, "request"},
		{"claim old", func(*fixture) (record.Kind, any) {
			return record.KindClaim, record.Claim{Request: request(-ClaimRetentionMs), Account: "asha"}
		}, ReasonExpired, ""},
		{"claim early", func(*fixture) (record.Kind, any) {
			return record.KindClaim, record.Claim{Request: request(MaxBatchAgeMs + 1), Account: "asha"}
		}, ReasonExpired, ""},
		{"claim account", func(*fixture) (record.Kind, any) {
			return record.KindClaim, record.Claim{Request: request(0), Account: "x"}
		}, ReasonUnknown, "x"},
		{"claim twice", func(c *fixture) (record.Kind, any) {
			c.mustApply("b", record.KindClaim, record.Claim{Request: request(0), Account: "asha"})
			return record.KindClaim, record.Claim{Request: request(0), Account: "asha"}
		}, ReasonClaimed, "b"},
		{"claim after unknown", func(c *fixture) (record.Kind, any) {
			c.mustApply("b", record.KindClaim, record.Claim{Request: request(0), Account: "asha"})
			c.mustApply("b", record.KindSettle, record.Settle{Request: request(0), Outcome: record.RequestUnknown})
			return record.KindClaim, record.Claim{Request: request(0), Account: "asha"}
		}, ReasonClaimed, "b"},
		{"settle unknown", func(*fixture) (record.Kind, any) {
			return record.KindSettle, record.Settle{Request: "1-1", Outcome: record.RequestDone}
		}, ReasonUnknown, "1-1"},
		{"settle other's", func(c *fixture) (record.Kind, any) {
			c.mustApply("b", record.KindClaim, record.Claim{Request: request(0), Account: "asha"})
			return record.KindSettle, record.Settle{Request: request(0), Outcome: record.RequestDone}
		}, ReasonOwner, "b"},
		{"settle fate", func(c *fixture) (record.Kind, any) {
			c.mustApply("a", record.KindClaim, record.Claim{Request: request(0), Account: "asha"})
			return record.KindSettle, record.Settle{Request: request(0), Outcome: "x"}
		}, ReasonField, "fate"},
		{"settle twice", func(c *fixture) (record.Kind, any) {
			c.mustApply("a", record.KindClaim, record.Claim{Request: request(0), Account: "asha"})
			c.mustApply("a", record.KindSettle, record.Settle{Request: request(0), Outcome: record.RequestDone})
			return record.KindSettle, record.Settle{Request: request(0), Outcome: record.RequestNotRun}
		}, ReasonPhase, "done"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			c := newFixture(t)
			kind, body := tt.record(c)
			before := len(c.s.Refused)
			o := c.propose("a", kind, body)
			is.Equal(o.Reason, tt.want)
			is.True(strings.Contains(o.Detail, tt.detail)) // the detail names the cause
			is.Equal(len(c.s.Refused), before+1)           // the refusal is counted
		})
	}
}

// evicting proposes to place a job of asha in asha's block, on which job k of
// chitra is running, with the victim that f returns.
func evicting(f func(*fixture, *Job) record.Victim) func(*fixture) (record.Kind, any) {
	return func(c *fixture) (record.Kind, any) {
		k := c.run("k", "chitra", false, 0)
		v := f(c, k)
		j := c.submit("j", "asha", 1, false)
		return record.KindPlace, record.Place{Job: "j", Revision: j.Revision, Slots: slots(0), Evict: []record.Victim{v}}
	}
}

// TestBatchRefusals guards against batches that take effect twice, out of order,
// too late or after their writer was evicted, and against entries that change the
// state although they fail.
func TestBatchRefusals(t *testing.T) {
	is := is.New(t)
	c := newFixture(t)
	fence := newRecord(t, record.KindFence, record.Fence{})
	try := func(f func(*record.Batch)) Reason {
		b := c.batch("a", fence)
		f(b)
		return c.apply(b)[0].Reason
	}
	is.Equal(try(func(*record.Batch) {}), Reason(""))
	is.Equal(try(func(b *record.Batch) { b.Seq-- }), ReasonDuplicate)
	is.Equal(try(func(b *record.Batch) { b.Seq++ }), ReasonSequence)
	is.Equal(try(func(b *record.Batch) { b.Writer = "new"; b.Seq = 2 }), ReasonSequence)
	is.Equal(try(func(b *record.Batch) { b.At -= MaxBatchAgeMs + 1 }), ReasonStale)
	is.Equal(try(func(*record.Batch) {}), Reason("")) // the stale batch did not use up a sequence number
	c.mustApply("b", record.KindEvict, record.Evict{Writer: "a"})
	is.Equal(try(func(*record.Batch) {}), ReasonFenced)
	var gap *GapError
	_, err := c.s.Apply(c.s.Offset+1, c.batch("b", fence))
	is.True(errors.As(err, &gap))
	var up *UpgradeError
	b := c.batch("b", fence)
	b.MinVersion = record.Version + 1
	sum := c.s.Sum()
	_, err = c.s.Apply(c.s.Offset, b)
	is.True(errors.As(err, &up))
	is.Equal(c.s.Sum(), sum) // nothing changed
}
