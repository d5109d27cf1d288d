package entry

import (
	"fmt"
	"strings"
	"time"

	"jasminelane.example/lane/placement"
	"jasminelane.example/lane/record"
	"jasminelane.example/lane/route"
	"jasminelane.example/lane/state"
)

// observeDecision is called for each decision of the replicated state. It counts
// refused records, passes the decision to the failure detector, and updates the
// stored members when they change.
func (n *Instance) observeDecision(o state.Decision) {
	n.failureDetector.Observe(o)
	if !o.Accepted() {
		n.Metrics.CountRefusal("fold."+string(o.Kind), string(o.Reason))
		return
	}
	switch o.Kind {
	case record.KindJoin, record.KindLeave, record.KindEvict:
		n.replica.View(n.storeMembers)
	}
}

// countRequest counts an answer, a refusal or a retry of a caller's request.
func (n *Instance) countRequest(event, reason string) {
	outcome, answered := strings.CutPrefix(event, "answer.")
	switch {
	case event == "retry":
		n.Metrics.CountRetry("request", reason)
	case outcome == string(record.RequestNotRun) && answered:
		n.Metrics.CountRefusal("request.notrun", reason)
	case answered && reason == "":
		n.Metrics.Count("answer." + outcome)
	case answered:
		n.Metrics.Count("answer." + outcome + "." + reason)
	default:
		n.Metrics.CountRefusal("request."+event, reason)
	}
}

// registerGauges registers the gauges of the instance, which are evaluated when
// the metrics are read.
func (n *Instance) registerGauges() {
	gauge := n.Metrics.AddGauge
	gauge("offset", func() any { return n.replica.Status().Offset })
	gauge("lag", func() any {
		st := n.replica.Status()
		return st.End - min(st.End, st.Offset)
	})
	gauge("digest", func() any { return fmt.Sprintf("%016x", n.replica.Status().Chain) })
	gauge("logdown", func() any { return n.replica.Status().LogDown })
	gauge("ready", func() any { return n.Ready() == nil })
	gauge("replica", func() any { return n.replica.Status().Counts })
	gauge("guarantees", func() any {
		var out struct {
			Blocks int `json:"blocks"`
			Broken int `json:"broken"`
			Slack  int `json:"slack"` // ready accelerators outside all blocks
		}
		n.replica.View(func(s *state.State) {
			for _, a := range s.Accounts {
				out.Blocks += len(a.Blocks)
				for _, b := range a.Blocks {
					if b.Broken {
						out.Broken++
					}
				}
			}
			for _, w := range s.Workers {
				if w.Ready() {
					out.Slack += (w.All() &^ w.Reserved()).Count()
				}
			}
		})
		return out
	})
	gauge("fragmentation", func() any {
		var f float64
		n.replica.View(func(s *state.State) { f = placement.Fragmentation(s) })
		return f
	})
	gauge("jobs", func() any {
		out := map[string]int{}
		n.replica.View(func(s *state.State) {
			for _, j := range s.Jobs {
				out[j.Phase.String()]++
			}
		})
		return out
	})
	gauge("servers", func() any {
		out := map[string][]route.Status{}
		n.replica.View(func(s *state.State) {
			for name := range s.Configs {
				if service, ok := strings.CutPrefix(name, "service/"); ok {
					out[service] = n.table.Status(service, time.Now().UnixMilli())
				}
			}
		})
		return out
	})
}
