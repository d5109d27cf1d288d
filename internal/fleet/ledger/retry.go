package ledger

import "slices"

const (
	// failureDelay is the pause in ms before the next run of a unit, for each of
	// its failed runs.
	failureDelay = 100

	// crashDelay is the pause in ms before the next run of a unit after
	// minCrashes workers have crashed under it. It doubles with each further crash.
	crashDelay = 1000

	// maxRetryDelay bounds the pause in ms before the next run. A task that lasts
	// must not stay away for long, however often it has ended.
	maxRetryDelay = 5000

	// maxFailedOn bounds the workers that are remembered for having failed a unit.
	maxFailedOn = 16
)

// RetryDelay returns the least time in ms from the end of the unit's last run to
// the start of its next one.
func (u *Unit) RetryDelay() int64 {
	delay := min(int64(u.Failures)*failureDelay, maxRetryDelay)
	for _, c := range u.Crashes {
		if c.Total < minCrashes {
			continue
		}
		doublings := min(c.Total-minCrashes, 10)
		delay = max(delay, min(int64(crashDelay)<<doublings, maxRetryDelay))
	}
	return delay
}

// addFailedOn adds a worker to FailedOn, in place of the oldest one if the list is
// full.
func (u *Unit) addFailedOn(worker string) {
	if slices.Contains(u.FailedOn, worker) {
		return
	}
	if len(u.FailedOn) >= maxFailedOn {
		u.FailedOn = slices.Delete(u.FailedOn, 0, 1+len(u.FailedOn)-maxFailedOn)
	}
	u.FailedOn = append(u.FailedOn, worker)
}
