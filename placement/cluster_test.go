package placement

import (
	"encoding/json"
	"fmt"

	"pgregory.net/rapid"

	"jasminelane.example/lane/record"
	"jasminelane.example/lane/shape"
	"jasminelane.example/lane/state"
)

// cluster applies records to a state in batches, as the log does.
type cluster struct {
	t     rapid.TB
	state *state.State
	seq   uint64
	nowMs int64
}

// newCluster builds a cluster of domains of racks of workers with the given
// number of accelerators each.
func newCluster(t rapid.TB, domains, racks, workers, gpus int) *cluster {
	c := &cluster{t: t, state: &state.State{}, nowMs: 1_800_000_000_000}
	for d := range domains {
		for r := range racks {
			body := state.RackBody{Domain: fmt.Sprintf("d%d", d)}
			for w := range workers {
				body.Workers = append(body.Workers, state.WorkerBody{
					Name: fmt.Sprintf("d%d-r%d-w%d", d, r, w), GPUs: gpus, Cores: 128, Memory: 256,
				})
			}
			c.must(record.KindPublish, record.Publish{Name: fmt.Sprintf("rack/d%d-r%d", d, r), Body: c.json(body)})
		}
	}
	return c
}

// json encodes v.
func (c *cluster) json(v any) []byte {
	c.t.Helper()
	data, err := json.Marshal(v)
	if err != nil {
		c.t.Fatal(err)
	}
	return data
}

// apply applies one record and returns what the state decided.
func (c *cluster) apply(kind record.Kind, body any) state.Decision {
	c.t.Helper()
	r, err := record.New(kind, "", body)
	if err != nil {
		c.t.Fatal(err)
	}
	return c.applyBatch(r)[0]
}

// applyBatch applies the records as one batch.
func (c *cluster) applyBatch(recs ...record.Record) []state.Decision {
	c.t.Helper()
	c.seq++
	out, err := c.state.Apply(c.state.Offset, &record.Batch{Writer: "test", Seq: c.seq, At: c.nowMs, Records: recs})
	if err != nil {
		c.t.Fatal(err)
	}
	return out
}

// must applies one record and fails the test unless it is accepted.
func (c *cluster) must(kind record.Kind, body any) {
	c.t.Helper()
	if o := c.apply(kind, body); !o.Accepted() {
		c.t.Fatalf("%s refused: %s: %s", kind, o.Reason, o.Detail)
	}
}

// check verifies the invariants of the state.
func (c *cluster) check() {
	c.t.Helper()
	if err := c.state.Check(); err != nil {
		c.t.Fatal(err)
	}
}

// account publishes an account with guarantees such as "4x2@rack", planned by
// PlanBlocks. It returns the error of the plan.
func (c *cluster) account(name string, guarantees ...state.GuaranteeBody) error {
	c.t.Helper()
	var promises []state.Guarantee
	for _, g := range guarantees {
		sh, err := shape.Parse(g.Shape)
		if err != nil {
			c.t.Fatal(err)
		}
		promises = append(promises, state.Guarantee{Shape: sh, Count: g.Count})
	}
	blocks, err := PlanBlocks(c.state, name, promises)
	if err != nil {
		return err
	}
	var base uint64
	if old := c.state.Configs["account/"+name]; old != nil {
		base = old.Version
	}
	c.must(record.KindPublish, record.Publish{
		Name: "account/" + name, Base: base, Body: c.json(state.AccountBody{Guarantees: guarantees}), Blocks: blocks,
	})
	return nil
}

// submit submits a job of the shape and returns it.
func (c *cluster) submit(id, account, sh string, change func(*record.Submit)) *state.Job {
	c.t.Helper()
	v, err := shape.Parse(sh)
	if err != nil {
		c.t.Fatal(err)
	}
	sub := record.Submit{Job: id, Account: account, Kind: "test", Shape: v}
	if change != nil {
		change(&sub)
	}
	c.must(record.KindSubmit, sub)
	return c.state.Jobs[id]
}

// place places the job with the index and starts it.
func (c *cluster) place(x *Index, j *state.Job) error {
	c.t.Helper()
	p, err := x.Place(j, Policy{})
	if err != nil {
		return err
	}
	c.must(record.KindPlace, p)
	c.must(record.KindStart, record.Start{Job: j.ID, Token: j.Token})
	return nil
}
