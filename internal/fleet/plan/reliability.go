package plan

const (
	// RiskLimit is the failure risk of a worker above which its recent record is not
	// good: after one failure, about three runs have to be done there. riskLimitDone, with
	// about twelve, is the limit for units of jobs whose work is nearly done and would be
	// lost with them.
	RiskLimit     = 0.12
	riskLimitDone = 0.06

	// riskyRank is added to the rank of workers whose record is not good.
	riskyRank = 100
)

// riskLimit returns the failure risk above which the unit prefers other workers.
func (u *WaitingUnit) riskLimit() float64 {
	if u.Work.Total <= 0 {
		return RiskLimit
	}
	return riskLimitDone + (RiskLimit-riskLimitDone)*min(1, max(0, u.Work.ToStart/u.Work.Total))
}

// risky reports whether the recent record of the worker is not good enough for the
// unit.
func (u *WaitingUnit) risky(w *Worker) bool { return w.FailureRisk > u.riskLimit() }

// anyRisky reports whether any worker may be risky for a unit.
func anyRisky(workers []*Worker) bool {
	for _, w := range workers {
		if w.FailureRisk > riskLimitDone {
			return true
		}
	}
	return false
}

// needsReliable reports whether the unit waits for workers whose recent record is
// good: the job fails if this run of the unit does.
func (r *round) needsReliable(u *WaitingUnit) bool {
	return r.risks && u.LastAttempt && !u.anywhere && r.in.Now-u.ReadySince <= MaxChoiceWaitMs
}

// relaxReliability permits workers whose record is not good if the others could not
// hold the unit even when empty.
func (r *round) relaxReliability(u *WaitingUnit) {
	if !r.needsReliable(u) {
		return
	}
	n := 0
	for _, w := range r.in.Workers {
		if r.permitted(u, w) {
			n += r.limitPerWorker(u, w, w.Total.MaxTasks(u.Need))
		}
		if n >= u.Width {
			return
		}
	}
	u.LastAttempt = false
}

// riskCost returns the work that the unit is expected to lose on the worker, in
// core-seconds: if one member of a gang fails, all have worked in vain.
func (u *WaitingUnit) riskCost(w *Worker) float64 {
	if !u.risky(w) {
		return 0
	}
	return w.FailureRisk * u.Need.CoreEquivalents() * float64(u.Width) * float64(u.EstimateMs) / 1000
}
