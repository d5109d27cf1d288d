package plan

const (
	// speedGap is the factor between two speeds from which on they count as
	// different. Smaller differences do not change how units are packed.
	speedGap = 1.15

	// speedMargin is how many times its expected run time a unit should have left until
	// the objective of its job. Tasks of one step differ by some 30%.
	speedMargin = 1.15

	// lateSeconds is the time for which less urgent work may have run on the resources
	// of a task and is still stopped for it, if the task would else start on a slow
	// worker and end late. It is longer than most runs of such work: the objective of
	// the more urgent job comes first.
	lateSeconds = 10
)

// speedClass tells workers apart by their speed.
type speedClass int

// The classes, slowest first.
const (
	speedSlow speedClass = iota
	speedUsual
	speedFast
	speedClasses = iota // number of classes
)

// speed returns the speed of the worker.
func (w *Worker) speed() float64 {
	if w.Speed <= 0 {
		return 1
	}
	return w.Speed
}

// class returns the speed class of the worker.
func (w *Worker) class() speedClass {
	switch v := w.speed(); {
	case v*speedGap <= 1:
		return speedSlow
	case v >= speedGap:
		return speedFast
	}
	return speedUsual
}

// inTime reports whether the unit can be expected to end within the objective of its
// job if it starts on the worker now. Estimates may be far off, and so may objectives
// that follow from them, so only their ratio counts.
func (u *WaitingUnit) inTime(w *Worker) bool { return u.Slack*w.speed() >= speedMargin }

// speedRank orders workers by how well their speed suits the unit, the best first:
// the slowest on which it ends in time, so that faster ones stay free for others, and
// else the fastest. A unit whose tasks last has no time to end by, and only avoids
// slow workers.
func (u *WaitingUnit) speedRank(w *Worker) int {
	class := w.class()
	switch {
	case u.Lasting && class == speedSlow:
		return 1
	case u.Lasting:
		return 0
	case u.inTime(w):
		return int(class)
	}
	return 2*speedClasses - 1 - int(class)
}

// maxSpeedRank is the greatest result of speedRank.
const maxSpeedRank = 2*speedClasses - 1

// differ reports whether the speeds of the workers differ enough to matter.
func differ(workers []*Worker) bool {
	for _, w := range workers {
		if w.class() != speedUsual {
			return true
		}
	}
	return false
}

// rankWorkers sets the ranks of workers with room for the unit: those with the lower
// rank are used first. Workers whose record is not good come last, and else those first
// whose speed suits the unit.
//
// A gang is as slow as its slowest member. It gets workers of one rank if there are
// enough on which it ends in time, and else those of the best ranks that together have
// room; of these it uses the slowest ones first, since faster ones would not help it.
func (r *round) rankWorkers(u *WaitingUnit, fit []*Worker) {
	var room [maxSpeedRank + 1]int
	for _, w := range fit {
		w.rank = u.speedRank(w)
		if u.risky(w) {
			w.rank += riskyRank
		} else if !w.lastResort() {
			room[w.rank] += r.limitPerWorker(u, w, w.Free.MaxTasks(u.Need))
		}
	}
	if u.Width == 1 {
		return
	}
	first, worst, sum := -1, maxSpeedRank, 0
	for rank, n := range room {
		if n >= u.Width && first < 0 {
			first = rank
		}
		if sum < u.Width && sum+n >= u.Width {
			worst = rank
		}
		sum += n
	}
	pure := first >= 0 && (first <= worst || first < speedClasses)
	for _, w := range fit {
		switch {
		case pure && w.rank == first:
			w.rank = -speedClasses
		case !pure && w.rank <= worst:
			w.rank = int(w.class()) - speedClasses
		}
	}
}

// rankCost returns what the choice of these workers costs the unit: less for workers
// that suit it better, and more for a mixture of speeds.
func (r *round) rankCost(u *WaitingUnit, workers []string) int {
	worst, best, cost := 0, maxSpeedRank, 0
	for _, id := range workers {
		w := r.workers[id]
		if u.risky(w) {
			cost = riskyRank
		}
		rank := u.speedRank(w)
		worst, best = max(worst, rank), min(best, rank)
	}
	if worst != best {
		return cost + max(2*worst+1, 2*speedClasses-1) // after all ranks in which the unit ends in time
	}
	return cost + 2*worst
}

// lateCost returns what it costs to stop other work for a task of the unit on the
// worker, beside that work, in core-seconds.
func (u *WaitingUnit) lateCost(w *Worker) float64 {
	if w.class() != speedSlow || u.Lasting || u.inTime(w) {
		return 0
	}
	return lateSeconds * u.Need.CoreEquivalents()
}
