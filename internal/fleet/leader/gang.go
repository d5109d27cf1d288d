package leader

import (
	"go.uber.org/zap"

	"jasminelane.example/lane/internal/fleet/ledger"
)

// breakGang stops the other members of a gang of which one has ended, and logs how
// the first one ended. The caller holds l.mu.
func (l *Leader) breakGang(u *ledger.Unit, r *ledger.End) {
	if endedMembers(u) == 1 {
		l.Logger.Info("gang broken; stopping its other members", zap.String("worker", u.Members[r.Member].Worker), zap.Stringer("unit", r.Unit),
			zap.Int("run", r.Run), zap.Int("member", r.Member), zap.String("how", string(r.Outcome)), zap.Int("members", len(u.Members)))
	}
	l.stopUnit(r.Unit, "gang broken")
}

// endedMembers returns how many members of the unit's run have ended.
func endedMembers(u *ledger.Unit) int {
	ended := 0
	for _, m := range u.Members {
		if m.Ended {
			ended++
		}
	}
	return ended
}
