package leader

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// unusableReason says why no new runs start on a worker.
type unusableReason string

// The reasons why a worker is not usable.
const (
	unusableNot         unusableReason = "" // new runs may start on it
	unusableUnlisted    unusableReason = "unlisted"
	unusableEntry       unusableReason = "entry" // its entry cannot be used
	unusableSilent      unusableReason = "silent"
	unusableDraining    unusableReason = "draining"
	unusableOrphans     unusableReason = "orphans"
	unusableUnstoppable unusableReason = "unstoppable"
	unusableUnhealthy   unusableReason = "unhealthy"
	unusableRestarted   unusableReason = "restarted" // its entry is of another incarnation than its reports
	unusableEvacuated   unusableReason = "evacuated"
)

// unusable returns why no new runs may start on the worker.
func (w *worker) unusable(now time.Time) unusableReason {
	switch {
	case !w.listed:
		return unusableUnlisted
	case w.entry.Unreadable:
		return unusableEntry
	case !w.contacted || w.unresponsive || now.Sub(w.lastAnswer) >= idleSyncInterval+maxRenewSilence:
		return unusableSilent
	case w.entry.Draining:
		return unusableDraining
	case len(w.orphans) > 0:
		return unusableOrphans
	case w.unstoppable:
		return unusableUnstoppable
	case now.Sub(w.unhealthyAt) <= unhealthyPause:
		return unusableUnhealthy
	case w.entry.Incarnation != 0 && w.entry.Incarnation != w.incarnation:
		return unusableRestarted
	}
	return unusableNot
}

// countUsable returns the number of usable workers, and for the log the numbers of
// the others by reason. The caller holds l.mu.
func (l *Leader) countUsable(now time.Time) (usable int, others string) {
	count := make(map[unusableReason]int)
	for _, w := range l.workers {
		reason := w.unusable(now)
		if reason == unusableNot && l.Policy.Evacuated(w.entry.Zone) {
			reason = unusableEvacuated
		}
		count[reason]++
	}
	usable = count[unusableNot]
	delete(count, unusableNot)
	var parts []string
	for _, reason := range slices.Sorted(maps.Keys(count)) {
		parts = append(parts, fmt.Sprintf("%s:%d", reason, count[reason]))
	}
	return usable, strings.Join(parts, " ")
}
