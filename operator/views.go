package operator

import (
	"net/http"
	"slices"
	"strings"

	"jasminelane.example/lane/record"
	"jasminelane.example/lane/replica"
	"jasminelane.example/lane/state"
)

// Status is the status of the instance that serves the request.
type Status struct {
	Replica  replica.Status          `json:"replica"`
	Now      int64                   `json:"now"`
	Configs  int                     `json:"configs"`
	Accounts int                     `json:"accounts"`
	Workers  int                     `json:"workers"`
	Jobs     int                     `json:"jobs"`
	Claims   int                     `json:"claims"`
	Refused  map[state.Reason]uint64 `json:"refused"`
}

func (a *API) status(_ *http.Request, _ string) (any, error) {
	out := Status{Replica: a.Status(), Refused: map[state.Reason]uint64{}}
	a.View(func(s *state.State) {
		out.Now = s.Now
		out.Configs, out.Accounts, out.Workers = len(s.Configs), len(s.Accounts), len(s.Workers)
		out.Jobs, out.Claims = len(s.Jobs), len(s.Claims)
		for r, n := range s.Refused {
			out.Refused[r] = n
		}
	})
	return out, nil
}

// Instance is a member and the offset up to which it has applied the log.
type Instance struct {
	Name    string `json:"name"`
	Domain  string `json:"domain"`
	Addr    string `json:"addr"`
	Version uint16 `json:"version"`
	Offset  uint64 `json:"offset"`
	Error   string `json:"error,omitempty"`
}

func (a *API) instances(r *http.Request, _ string) (any, error) {
	out := []Instance{}
	var members []*state.Member
	a.View(func(s *state.State) {
		for _, m := range s.Members {
			c := *m
			members = append(members, &c)
		}
	})
	for _, m := range members {
		v := Instance{Name: m.Name, Domain: m.Domain, Addr: m.Addr, Version: m.Version}
		at, err := a.MemberOffset(r.Context(), m)
		v.Offset = at
		if err != nil {
			v.Error = err.Error()
		}
		out = append(out, v)
	}
	return out, nil
}

// Account is a client account with its guarantees, its usage, and the accelerators
// that it has lent and borrowed.
type Account struct {
	Name       string  `json:"name"`
	Weight     float64 `json:"weight"`
	Quota      int     `json:"quota"`
	Used       int     `json:"used"`       // accelerators allocated to its jobs
	Guaranteed int     `json:"guaranteed"` // accelerators in its blocks
	Lent       int     `json:"lent"`       // accelerators of its blocks allocated to jobs of other accounts
	Borrowed   int     `json:"borrowed"`   // accelerators allocated to its jobs outside its blocks
	Broken     int     `json:"broken"`     // blocks that lack healthy accelerators
	Blocks     []Block `json:"blocks"`
}

// Block is one guaranteed shape with the workers on which it is reserved.
type Block struct {
	Shape   string   `json:"shape"`
	Broken  bool     `json:"broken,omitempty"`
	Lent    int      `json:"lent"`
	Workers []string `json:"workers"`
}

func (a *API) accounts(_ *http.Request, _ string) (any, error) {
	out := []Account{}
	a.View(func(s *state.State) {
		for _, c := range s.Accounts {
			out = append(out, accountView(s, c))
		}
	})
	slices.SortFunc(out, func(x, y Account) int { return strings.Compare(x.Name, y.Name) })
	return out, nil
}

func accountView(s *state.State, c *state.Account) Account {
	v := Account{Name: c.Name, Weight: c.Weight, Quota: c.Quota, Used: c.Used, Borrowed: c.Used, Blocks: []Block{}}
	for _, b := range c.Blocks {
		bv := Block{Shape: b.Shape.String(), Broken: b.Broken}
		if b.Broken {
			v.Broken++
		}
		for _, sl := range b.Slots {
			w := s.Workers[sl.Worker]
			bv.Workers = append(bv.Workers, w.Name)
			v.Guaranteed += sl.Mask.Count()
			for _, t := range w.Tasks {
				if t.Phase == state.TaskStopping || t.Phase == state.TaskDone {
					continue
				}
				n := (t.Mask & sl.Mask).Count()
				if t.Job.Spec.Account != c.Name {
					bv.Lent += n
				} else if t.Job.Guaranteed {
					v.Borrowed -= n
				}
			}
		}
		v.Lent += bv.Lent
		v.Blocks = append(v.Blocks, bv)
	}
	return v
}

// Job is a job in responses of the API.
type Job struct {
	ID          string      `json:"id"`
	Account     string      `json:"account"`
	Kind        string      `json:"kind"`
	Shape       string      `json:"shape"`
	Phase       string      `json:"phase"`
	Urgent      bool        `json:"urgent,omitempty"`
	Guaranteed  bool        `json:"guaranteed,omitempty"`
	SubmittedAt int64       `json:"submitted"`
	StartedAt   int64       `json:"started,omitempty"`
	Starts      int         `json:"starts"`
	LostMs      int64       `json:"lost"` // lost work in milliseconds
	Workers     []string    `json:"workers,omitempty"`
	Cause       string      `json:"cause"`
	WaitReason  Explanation `json:"waits,omitzero"`
}

func (a *API) jobView(s *state.State, j *state.Job) Job {
	v := Job{
		ID: j.ID, Account: j.Spec.Account, Kind: j.Spec.Kind, Shape: j.Spec.Shape.String(), Phase: j.Phase.String(),
		Urgent: j.Spec.Urgent, Guaranteed: j.Guaranteed, SubmittedAt: j.SubmittedAt, StartedAt: j.StartedAt,
		Starts: j.Starts, LostMs: j.LostMs, Cause: j.Cause,
	}
	for _, sl := range j.Slots {
		v.Workers = append(v.Workers, s.Workers[sl.Worker].Name)
	}
	if j.Phase == state.JobWaiting {
		v.WaitReason = a.Explain(s, j.ID)
	}
	return v
}

func (a *API) jobs(r *http.Request, _ string) (any, error) {
	const limit = 1000
	phase, account := r.URL.Query().Get("phase"), r.URL.Query().Get("account")
	if phase != "" && !slices.Contains(phaseNames(), phase) {
		// An empty list would suggest that no job is in the intended phase.
		return nil, &Refusal{record.RequestNotRun, string(state.ReasonField), "phase: want one of " + strings.Join(phaseNames(), ", ")}
	}
	out := []Job{}
	a.View(func(s *state.State) {
		var list []*state.Job
		for _, j := range s.Jobs {
			if (phase == "" || j.Phase.String() == phase) && (account == "" || j.Spec.Account == account) {
				list = append(list, j)
			}
		}
		slices.SortFunc(list, func(x, y *state.Job) int { return strings.Compare(x.ID, y.ID) })
		for _, j := range list[:min(len(list), limit)] {
			out = append(out, a.jobView(s, j))
		}
	})
	return out, nil
}

// phaseNames returns the names of all phases of a job.
func phaseNames() []string {
	var out []string
	for p := state.JobWaiting; p <= state.JobUnknown; p++ {
		out = append(out, p.String())
	}
	return out
}

func (a *API) job(r *http.Request, _ string) (any, error) {
	var out *Job
	a.View(func(s *state.State) {
		if j := s.Jobs[r.PathValue("id")]; j != nil {
			v := a.jobView(s, j)
			out = &v
		}
	})
	if out == nil {
		return nil, &Refusal{record.RequestNotRun, string(state.ReasonUnknown), r.PathValue("id")}
	}
	return out, nil
}

func (a *API) cancel(r *http.Request, operator string) (any, error) {
	if _, err := propose(r.Context(), a, record.KindCancel, record.Cancel{Job: r.PathValue("id"), By: operator}); err != nil {
		return nil, err
	}
	return a.job(r, operator)
}

// Worker is a worker in responses of the API.
type Worker struct {
	Name           string `json:"name"`
	Rack           string `json:"rack"`
	Domain         string `json:"domain"`
	GPUs           int    `json:"gpus"`
	Used           int    `json:"used"`
	Reserved       int    `json:"reserved"` // accelerators in guarantee blocks
	Condition      string `json:"condition"`
	ConditionSince int64  `json:"since"`
	Cause          string `json:"cause,omitempty"` // of the condition
}

func (a *API) workers(_ *http.Request, _ string) (any, error) {
	out := []Worker{}
	a.View(func(s *state.State) {
		for _, w := range s.Workers {
			if w.Removed {
				continue
			}
			out = append(out, workerView(w))
		}
	})
	return out, nil
}

func workerView(w *state.Worker) Worker {
	v := Worker{
		Name: w.Name, Rack: w.Rack.Name, Domain: w.Rack.Domain.Name, GPUs: w.GPUs,
		Used: w.Used().Count(), Reserved: w.Reserved().Count(), Condition: string(w.Condition), ConditionSince: w.ConditionSince, Cause: w.Cause,
	}
	if v.Condition == "" {
		v.Condition = "ready"
	}
	return v
}

// setWorker quarantines a worker (condition aside) or returns it to service
// (condition ready).
func (a *API) setWorker(r *http.Request, operator string) (any, error) {
	conditions := []struct {
		name string
		to   record.Condition
	}{{"aside", record.ConditionAside}, {"ready", record.ConditionReady}}
	i := slices.IndexFunc(conditions, func(c struct {
		name string
		to   record.Condition
	}) bool {
		return c.name == r.PathValue("condition")
	})
	if i < 0 {
		return nil, &Refusal{record.RequestNotRun, string(state.ReasonField), "condition: want aside or ready"}
	}
	h := record.Health{Condition: conditions[i].to, Cause: "operator " + operator}
	found := false
	a.View(func(s *state.State) {
		if w := s.Worker(r.PathValue("name")); w != nil && !w.Removed {
			found, h.Worker, h.Revision = true, w.Index, w.Revision
		}
	})
	if !found {
		return nil, &Refusal{record.RequestNotRun, string(state.ReasonUnknown), r.PathValue("name")}
	}
	if _, err := propose(r.Context(), a, record.KindHealth, h); err != nil {
		return nil, err
	}
	var out Worker
	a.View(func(s *state.State) { out = workerView(s.Workers[h.Worker]) })
	return out, nil
}
