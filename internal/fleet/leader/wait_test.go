package leader

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"jasminelane.example/lane/internal/fleet/ledger"
	"jasminelane.example/lane/internal/fleet/plan"
	"jasminelane.example/lane/metric"
)

// Guards against a unit that waits for long and of which the log does not say why, and against a line in each round.
func TestLogOfWaits(t *testing.T) {
	is := is.New(t)
	core, lines := observer.New(zap.InfoLevel)
	l := &Leader{Logger: zap.New(core), Metrics: &metric.Set{}, waits: make(map[ledger.UnitID]*unitWait)}
	for now := int64(0); now < 9000; now += 100 {
		cause := plan.WaitRack
		if now >= 3000 {
			cause = plan.WaitNoRoom
		}
		l.noteWait(ledger.UnitID{Job: "a"}, now, cause)
		if now < 900 {
			l.noteWait(ledger.UnitID{Job: "short"}, now, waitPause)
		}
		l.endRound(now)
	}
	var got []string
	for _, e := range lines.All() {
		got = append(got, fmt.Sprint(e.ContextMap()["unit"], " ", e.ContextMap()["cause"], " ", e.ContextMap()["waited"]))
	}
	is.Equal(got, []string{"a.0.0.0 rack busy 1000", "a.0.0.0 no room 3000", "a.0.0.0 no room 8000"})
	is.Equal(l.Metrics.Events.Get("waits.no room").String(), "2")
	is.Equal(len(l.waits), 1)
}

// Guards against a log that is flooded while many units wait.
func TestLogOfManyWaits(t *testing.T) {
	is := is.New(t)
	core, lines := observer.New(zap.InfoLevel)
	l := &Leader{Logger: zap.New(core), waits: make(map[ledger.UnitID]*unitWait)}
	for now := int64(0); now < 3000; now += 20 {
		for i := range 1000 {
			l.noteWait(ledger.UnitID{Job: "a", Index: i}, now, waitPaced)
		}
		l.endRound(now)
	}
	is.Equal(lines.Len(), 4*maxWaitLines)
}
