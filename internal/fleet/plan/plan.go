package plan

import (
	"cmp"
	"slices"

	"jasminelane.example/lane/internal/fleet/ledger"
)

const (
	// farFactor is how much longer a task runs away from its rack. Waiting for
	// the rack pays while the wait is shorter than the extra run time.
	farFactor = 3

	// sureFarWait bounds the wait for a rack of a unit within its account's
	// guarantee, in ms.
	sureFarWait = 600

	// avoidWait bounds the wait for workers on which a unit has not failed, in
	// ms.
	avoidWait = 2000

	// evictWait is how long a unit that is not most urgent waits before it
	// stops less urgent work, in ms.
	evictWait = 1000

	// drainWait is how long a unit waits before room is kept for it as it
	// becomes free, in ms; large gangs would otherwise wait for ever while
	// small units take each gap.
	drainWait = 1500

	// maxDrains bounds the units for which room is kept so at one time.
	maxDrains = 3

	// maxTried bounds the units that one round tries to place.
	maxTried = 400
)

// round is one round of planning; free room changes as units are placed.
type round struct {
	in      Input
	workers map[string]*Worker
	racks   map[string][]*Worker
	names   []string // of racks, sorted
	held    map[ledger.UnitID]Hold
	out     Output
	stopped map[ledger.UnitID]bool

	on        map[string][]*Running // by worker, the cheapest to stop first; nil until needed
	ending    map[string][]*Running // by worker, the first to end first; nil until needed
	returning map[string]Room       // by worker, of units that are being stopped
	drains    int
}

// Decide places waiting units in the order of their urgency.
func Decide(in Input) Output {
	r := &round{
		in:      in,
		workers: make(map[string]*Worker),
		racks:   make(map[string][]*Worker),
		held:    make(map[ledger.UnitID]Hold),
		stopped: make(map[ledger.UnitID]bool),
	}
	for _, w := range in.Workers {
		r.workers[w.ID] = w
		r.racks[w.Rack] = append(r.racks[w.Rack], w)
	}
	for name := range r.racks {
		r.names = append(r.names, name)
	}
	slices.Sort(r.names)
	for _, h := range in.Holds {
		r.held[h.Unit] = h
		if h.Drain {
			r.drains++
		}
	}
	holds := slices.SortedStableFunc(slices.Values(in.Holds), func(a, b Hold) int { return cmp.Compare(a.Priority, b.Priority) })
	order(in.Waiting)
	type shape struct {
		job              string
		occurrence, step int
	}
	full := make(map[shape]bool)
	tried := 0
	for _, u := range in.Waiting {
		for len(holds) > 0 && holds[0].Priority <= u.Priority {
			r.keep(holds[0], 1)
			holds = holds[1:]
		}
		key := shape{u.ID.Job, u.ID.Occurrence, u.ID.Step}
		if full[key] {
			continue
		}
		if tried++; tried > maxTried {
			break
		}
		if !r.place(u) {
			full[key] = true
		}
	}
	return r.out
}

// order sorts by priority; in one priority, units whose jobs can still meet
// their objective come first, then the jobs that were accepted first.
func order(units []*Waiting) {
	slices.SortStableFunc(units, func(a, b *Waiting) int {
		return cmp.Or(
			cmp.Compare(rank(a), rank(b)),
			cmp.Compare(a.Accepted, b.Accepted),
			cmp.Compare(a.ID.Job, b.ID.Job),
			cmp.Compare(a.ID.Occurrence, b.ID.Occurrence),
			cmp.Compare(a.ID.Step, b.ID.Step),
			cmp.Compare(a.ID.Index, b.ID.Index),
		)
	})
}

func rank(u *Waiting) int {
	n := 4 * u.Priority
	if u.Sure {
		n--
	}
	if u.Late && !u.Sure {
		n += 2
	}
	return n
}

// keep takes the hold's room from its workers, or gives it back with sign -1.
func (r *round) keep(h Hold, sign int64) {
	for _, id := range h.Workers {
		if w := r.workers[id]; w != nil {
			w.Free = w.Free.Sub(h.Need.Mul(sign))
		}
	}
}

// place starts the unit, or makes room for it, and reports whether its step's
// other tasks should be tried as well.
func (r *round) place(u *Waiting) bool {
	r.relent(u)
	if h, ok := r.held[u.ID]; ok {
		r.keep(h, -1)
		if r.fits(u, h.Workers) {
			r.start(u, h.Workers)
			return true
		}
		if workers := r.choose(u); workers != nil {
			r.start(u, workers)
			return true
		}
		r.keep(h, 1)
		return true
	}
	if workers := r.choose(u); workers != nil {
		r.start(u, workers)
		return true
	}
	wait := r.in.Now - u.Since
	if (u.Priority == 0 || wait > evictWait) && r.evict(u) {
		return true
	}
	return wait > drainWait && r.drain(u)
}

// relent lets the unit back onto workers on which it failed if the others
// could not hold it, or have not for long.
func (r *round) relent(u *Waiting) {
	if len(u.Avoid) > 0 && (r.in.Now-u.Since > avoidWait || r.capacity(u, r.in.Workers, true) < u.Width) {
		u.Avoid = nil
	}
}

func (r *round) fits(u *Waiting, workers []string) bool {
	count := make(map[string]int64)
	for _, id := range workers {
		w := r.workers[id]
		if w == nil || !r.allowed(u, w) {
			return false
		}
		count[id]++
		n := count[id]
		if r.spread(u, w, int(n)) < int(n) {
			return false // other tasks of the step have started there meanwhile
		}
		if !w.Free.Fits(u.Need.Mul(n)) {
			return false
		}
	}
	return true
}

func (r *round) start(u *Waiting, workers []string) {
	for _, id := range workers {
		r.workers[id].Free = r.workers[id].Free.Sub(u.Need)
	}
	if u.Apart > 0 && u.Beside != nil {
		for _, id := range workers {
			u.Beside[id]++ // shared by the tasks of the step
		}
	}
	r.out.Starts = append(r.out.Starts, Start{u, workers})
}

// choose returns workers with free room for all tasks of the unit, or nil.
func (r *round) choose(u *Waiting) []string {
	if u.Rack != "" {
		if ws := r.pack(u, r.racks[u.Rack]); ws != nil {
			return ws
		}
		if !r.mayGoFar(u, r.racks[u.Rack]) {
			return nil
		}
	}
	if u.SameRack && u.Width > 1 {
		best, possible := r.oneRack(u)
		if best != nil {
			return best
		}
		if possible && !r.patienceOver(u) {
			return nil
		}
	}
	return r.pack(u, r.in.Workers)
}

// oneRack returns workers of the rack in which the unit leaves the least room,
// and whether any rack is large enough for it when empty.
func (r *round) oneRack(u *Waiting) (best []string, possible bool) {
	least := 0
	for _, name := range r.names {
		ws := r.racks[name]
		if r.capacity(u, ws, true) < u.Width {
			continue
		}
		possible = true
		left := r.capacity(u, ws, false) - u.Width
		if left < 0 || (best != nil && left >= least) {
			continue
		}
		if p := r.pack(u, ws); p != nil {
			best, least = p, left
		}
	}
	return best, possible
}

// mayGoFar reports whether the unit should run away from its data.
func (r *round) mayGoFar(u *Waiting, near []*Worker) bool {
	if len(near) == 0 || r.capacity(u, near, true) < u.Width {
		return true
	}
	return r.patienceOver(u)
}

func (r *round) patienceOver(u *Waiting) bool {
	wait := (farFactor - 1) * u.Estimate
	if u.Sure {
		wait = min(wait, sureFarWait)
	}
	return r.in.Now-u.Since > wait
}

// capacity counts the tasks of the unit that fit on the workers, in their free
// room or when they are empty.
func (r *round) capacity(u *Waiting, workers []*Worker, empty bool) int {
	n := 0
	for _, w := range workers {
		if !r.allowed(u, w) {
			continue
		}
		room := w.Free
		if empty {
			room = w.Total
		}
		n += r.spread(u, w, room.Times(u.Need))
	}
	return n
}

// spread lowers the count of tasks on a worker to what the unit's limit allows.
func (r *round) spread(u *Waiting, w *Worker, n int) int {
	if u.Apart > 0 {
		n = min(n, u.Apart-u.Beside[w.ID])
	}
	return max(n, 0)
}

func (r *round) allowed(u *Waiting, w *Worker) bool {
	return w.Service == u.Service && w.Has(u.Label) && !slices.Contains(u.Avoid, w.ID)
}

// pack returns a worker for each task, filling those first that keep the least
// room, so that large free blocks stay whole; nil if not all tasks fit.
func (r *round) pack(u *Waiting, workers []*Worker) []string {
	fit := make([]*Worker, 0, len(workers))
	total := 0
	for _, w := range workers {
		if !r.allowed(u, w) || !w.Free.Fits(u.Need) {
			continue
		}
		if n := r.spread(u, w, w.Free.Times(u.Need)); n > 0 {
			total += n
			fit = append(fit, w)
		}
	}
	if total < u.Width {
		return nil
	}
	slices.SortStableFunc(fit, func(a, b *Worker) int {
		return cmp.Or(
			compareBool(a.Suspect, b.Suspect),
			cmp.Compare(a.Free.GPU-u.Need.GPU, b.Free.GPU-u.Need.GPU),
			cmp.Compare(a.Free.CPU, b.Free.CPU),
		)
	})
	out := make([]string, 0, u.Width)
	for _, w := range fit {
		for n := r.spread(u, w, w.Free.Times(u.Need)); n > 0 && len(out) < u.Width; n-- {
			out = append(out, w.ID)
		}
		if len(out) == u.Width {
			return out
		}
	}
	return nil
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}
