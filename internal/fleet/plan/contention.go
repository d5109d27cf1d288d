package plan

const (
	// contentionStep is the cost above which a worker counts as contended, and the
	// difference between two levels. It is the least slowdown that counts for a pair of
	// kinds, see package contention.
	contentionStep = 0.2

	// maxContentionLevel is the highest level of a worker's cost. Beyond it the best fit
	// decides again.
	maxContentionLevel = 5

	// keptWholeLevel is the level of empty workers that large tasks wait for. It is
	// higher than that of any cost: a task of another kind takes longer beside its
	// neighbours, but a large task could not run at all.
	keptWholeLevel = maxContentionLevel + 1
)

// AddKind adds to the worker's costs that a task of the kind runs there. slowdowns
// are those of the kind by the kinds of other tasks.
func (w *Worker) AddKind(slowdowns map[string]float64) {
	for other, slowdown := range slowdowns {
		if w.Contention == nil {
			w.Contention = make(map[string]float64)
		}
		w.Contention[other] += slowdown
	}
}

// contentionLevel returns the level of the cost of a task of the kind on the worker, 0
// if it is low.
func (w *Worker) contentionLevel(kind string) int {
	return int(min(w.Contention[kind]/contentionStep, maxContentionLevel))
}

// rateContention sets the levels of the workers for a unit. Kinds without known costs
// have the level 0 everywhere.
func (r *round) rateContention(u *WaitingUnit, workers []*Worker) {
	if len(r.in.Slowdowns) == 0 {
		return
	}
	known := u.Kind != "" && len(r.in.Slowdowns[u.Kind]) > 0
	empty := 0
	for _, w := range workers {
		w.level = 0
		if known {
			w.level = w.contentionLevel(u.Kind)
		}
		if w.empty() {
			empty++
		}
	}
	if !known || u.large || empty > r.largeTasks {
		return
	}
	for _, w := range workers {
		if w.empty() {
			w.level = keptWholeLevel
		}
	}
}

// empty reports whether nothing runs on the worker.
func (w *Worker) empty() bool { return w.Free.CPU == w.Total.CPU && w.Free.GPU == w.Total.GPU }

// countLargeTasks counts the waiting tasks that need more than half of a worker.
func (r *round) countLargeTasks() {
	if len(r.in.Slowdowns) == 0 {
		return
	}
	for _, u := range r.in.Waiting {
		for _, w := range r.in.Workers {
			if !suits(u, w) {
				continue
			}
			if 2*u.Need.GPU > w.Total.GPU || 2*u.Need.CPU > w.Total.CPU {
				u.large = true
				r.largeTasks += u.Width
			}
			break
		}
	}
}

// contention returns the sum of the levels of the workers for a unit that pack has
// just placed on them.
func (r *round) contention(workers []string) int {
	if len(r.in.Slowdowns) == 0 {
		return 0
	}
	sum := 0
	for _, id := range workers {
		sum += r.workers[id].level
	}
	return sum
}

// addKinds adds the tasks of a unit that is placed to the costs of its workers. It
// returns how many of them are placed where the cost is known to be high.
func (r *round) addKinds(u *WaitingUnit, workers []string) (contended int) {
	if len(r.in.Slowdowns) == 0 {
		return 0
	}
	if u.large {
		r.largeTasks -= u.Width
	}
	slowdowns := r.in.Slowdowns[u.Kind]
	for _, id := range workers {
		w := r.workers[id]
		if w.contentionLevel(u.Kind) > 0 {
			contended++
		}
		w.AddKind(slowdowns)
	}
	return contended
}
