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

// outcome counts the refusals that the fold decided, and follows the members.
func (n *Instance) outcome(o state.Decision) {
	n.liveness.Observe(o)
	if !o.Accepted() {
		n.Metrics.CountRefusal("fold."+string(o.Kind), string(o.Reason))
		return
	}
	switch o.Kind {
	case record.KindJoin, record.KindLeave, record.KindEvict:
		n.replica.View(n.noteMembers)
	}
}

// countRequest counts answers, refusals and retries of the request path.
func (n *Instance) countRequest(event, reason string) {
	fate, answer := strings.CutPrefix(event, "answer.")
	switch {
	case event == "retry":
		n.Metrics.CountRetry("request", reason)
	case fate == string(record.RequestNotRun) && answer:
		n.Metrics.CountRefusal("request.notrun", reason)
	case answer && reason == "":
		n.Metrics.Count("answer." + fate)
	case answer:
		n.Metrics.Count("answer." + fate + "." + reason)
	default:
		n.Metrics.CountRefusal("request."+event, reason)
	}
}

func (n *Instance) gauges() {
	status := n.Metrics.AddGauge
	status("offset", func() any { return n.replica.Status().Offset })
	status("lag", func() any {
		st := n.replica.Status()
		return st.End - min(st.End, st.Offset)
	})
	status("digest", func() any { return fmt.Sprintf("%016x", n.replica.Status().Chain) })
	status("logdown", func() any { return n.replica.Status().LogDown })
	status("ready", func() any { return n.Ready() == nil })
	status("replica", func() any { return n.replica.Status().Counts })
	status("guarantees", func() any {
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
	status("fragmentation", func() any {
		var f float64
		n.replica.View(func(s *state.State) { f = placement.Fragmentation(s) })
		return f
	})
	status("jobs", func() any {
		out := map[string]int{}
		n.replica.View(func(s *state.State) {
			for _, j := range s.Jobs {
				out[j.Phase.String()]++
			}
		})
		return out
	})
	status("servers", func() any {
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
