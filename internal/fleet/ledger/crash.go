package ledger

const (
	// minCrashes is the number of workers that crash under a task before its job
	// fails, if the task had certainly started on minCertainCrashes of them.
	// Other tasks crash along with their worker as well, rarely so often in a row.
	minCrashes        = 3
	minCertainCrashes = 2

	// maxCrashes is the number of workers that crash under a task, or may have
	// crashed under it, before its job fails in any case.
	maxCrashes = 5

	// crashBlameTime is the time in ms for which a task must have run to be
	// cleared: neither that crash nor the earlier ones are blamed on it.
	crashBlameTime = 10 * 60 * 1000
)

// CrashCount is the number of workers that crashed while they ran a task.
type CrashCount struct {
	Total   int `cbor:"1,keyasint,omitempty"`
	Certain int `cbor:"2,keyasint,omitempty"` // of these, workers on which the task had certainly started
}

// excessive reports whether the task must not be started again.
func (c CrashCount) excessive() bool {
	return c.Total >= minCrashes && c.Certain >= minCertainCrashes || c.Total >= maxCrashes
}

// countCrash counts a worker that crashed under a member of the current run.
func (u *Unit) countCrash(r End) {
	if r.At-u.RunStartedAt > crashBlameTime {
		return
	}
	for len(u.Crashes) <= r.Member {
		u.Crashes = append(u.Crashes, CrashCount{})
	}
	c := &u.Crashes[r.Member]
	c.Total++
	if r.Ran {
		c.Certain++
	}
}

// CrashSuspect reports whether a worker crashed under the unit lately, perhaps
// because of it.
func (u *Unit) CrashSuspect() bool { return len(u.Crashes) > 0 }

// crashesWorkers reports whether a task of the unit crashed so many workers that
// it must not be started again.
func (u *Unit) crashesWorkers() bool {
	for _, c := range u.Crashes {
		if c.excessive() {
			return true
		}
	}
	return false
}
