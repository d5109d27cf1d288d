package ledger

const (
	// maxWorkerCrashes is the number of workers that crash under a task before its
	// job fails. Other tasks crash along with their worker as well, rarely so
	// often in a row.
	maxWorkerCrashes = 3

	// crashBlameTime is the time in ms for which a task must have run to be
	// cleared: neither that crash nor the earlier ones are blamed on it.
	crashBlameTime = 10 * 60 * 1000
)

// countCrash counts a worker that crashed under a member of the current run.
func (u *Unit) countCrash(member int, at int64) {
	if at-u.RunStartedAt > crashBlameTime {
		return
	}
	for len(u.Crashes) <= member {
		u.Crashes = append(u.Crashes, 0)
	}
	u.Crashes[member]++
}

// CrashSuspect reports whether a worker crashed under the unit lately, perhaps
// because of it.
func (u *Unit) CrashSuspect() bool { return len(u.Crashes) > 0 }

// crashesWorkers reports whether so many workers crashed under a task of the unit
// that it must not be started again.
func (u *Unit) crashesWorkers() bool {
	for _, n := range u.Crashes {
		if n >= maxWorkerCrashes {
			return true
		}
	}
	return false
}
