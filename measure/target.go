package measure

import (
	"context"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"

	"gonum.org/v1/gonum/stat"

	"jasminelane.example/lane/record"
)

// DailyLoad is the load of an ordinary day at the target size.
type DailyLoad struct {
	ConfigChanges float64 // configuration changes a day
	Jobs          float64 // jobs a day
	WorkersPerJob float64 // workers of one job, each with two of its 80 tasks
	Restarts      float64 // instances that fail or are replaced a day
	LeaseSeconds  float64 // length of a lease; in it a lease keeper syncs a worker three times, each of its two backups half as often
	Snapshots     float64 // snapshots written to the log a day; each instance reads them
}

// TargetLoad is the load that docs/CAPACITY.md assumes: 9,500 jobs a day of 80 tasks
// and 6 h each keep 190,000 tasks running, two of each job on each of its workers.
var TargetLoad = DailyLoad{ConfigChanges: 27_000, Jobs: 9_500, WorkersPerJob: 40, Restarts: 1_160, LeaseSeconds: 15, Snapshots: 16}

// Budgets are the part of a node's resources that is reserved for control, that is,
// for its entry instance.
const (
	BudgetCPUs           = 0.029   // processors, which is processor time in seconds a second
	BudgetBytesPerSecond = 4 << 10 // sent and received
	BudgetMemoryBytes    = 128 << 20
)

const daySeconds = 86_400

// CostLine is one part of the cost of an entry instance.
type CostLine struct {
	Name   string
	Rate   float64 // records, exchanges or rounds a second
	Bytes  float64 // sent and received a second
	Micros float64 // processor time in microseconds a second
}

// Report holds the measurements, from which its methods compute the costs.
type Report struct {
	Samples   []*Sample
	Exchanges []Exchange
}

// Run measures all sizes and exchanges. It writes to progress what it measures next.
func Run(ctx context.Context, progress io.Writer) (*Report, error) {
	r := &Report{}
	for _, z := range SampleSizes {
		fmt.Fprintf(progress, "measuring %d workers, %d tasks, %d accounts\n", z.Workers, z.Tasks, z.Accounts)
		s, err := MeasureFleet(z)
		if err != nil {
			return nil, err
		}
		r.Samples = append(r.Samples, s)
	}
	fmt.Fprintln(progress, "measuring exchanges")
	var err error
	r.Exchanges, err = MeasureExchanges(ctx)
	return r, err
}

// fitByTasks fits a line through a value of the samples as a function of the number
// of tasks.
func (r *Report) fitByTasks(y func(*Sample) float64) (base, perTask float64) {
	var xs, ys []float64
	for _, s := range r.Samples {
		xs, ys = append(xs, float64(s.Size.Tasks)), append(ys, y(s))
	}
	return stat.LinearRegression(xs, ys, nil, false)
}

// exchange returns the measured exchange of the name.
func (r *Report) exchange(name string) Exchange {
	i := slices.IndexFunc(r.Exchanges, func(e Exchange) bool { return e.Name == name })
	return r.Exchanges[i]
}

// recordCost returns the mean cost of a record of the kind at the largest size.
func (r *Report) recordCost(k record.Kind) (bytes, micros float64) {
	c := r.Samples[len(r.Samples)-1].CostByKind[k]
	return float64(c.Bytes) / float64(c.Records), float64(c.Time.Microseconds()) / float64(c.Records)
}

// InstanceCost returns the cost of one of n entry instances in a second of an
// ordinary day, by cause.
func (r *Report) InstanceCost(n int, d DailyLoad) []CostLine {
	var lines []CostLine
	appends := 0.0
	add := func(name string, kind record.Kind, perDay, scale float64) {
		bytes, micros := r.recordCost(kind)
		rate := perDay / daySeconds
		appends += rate
		lines = append(lines, CostLine{name, rate, rate * bytes * scale, rate * micros * scale})
	}
	// The measured jobs have 8 workers; the records of a placement and of a start
	// grow in proportion to the workers.
	scaleByWorkers := d.WorkersPerJob / workersPerJob
	add("log: configuration", record.KindPublish, d.ConfigChanges, 1)
	add("log: submissions", record.KindSubmit, d.Jobs, 1)
	add("log: placements", record.KindPlace, d.Jobs, scaleByWorkers)
	add("log: starts", record.KindStart, d.Jobs, scaleByWorkers)
	add("log: reports", record.KindReport, d.Jobs*d.WorkersPerJob, 1)
	add("log: members", record.KindSettle, 2*d.Restarts, 1) // the record of a join or leave is as small as that of an outcome
	snapshotBytes := r.Samples[len(r.Samples)-1].SnapshotBytes
	lines = append(lines, CostLine{"log: snapshots read", d.Snapshots / daySeconds, d.Snapshots / daySeconds * snapshotBytes, 0})
	poll := r.exchange("poll")
	polls := appends + 1
	lines = append(lines, CostLine{"log: polls", polls, polls * poll.Bytes, polls * poll.Micros})
	short, full := r.exchange("short sync"), r.exchange("full sync")
	syncs := float64(TargetSize.Workers) / float64(n) * 2 * 3 / d.LeaseSeconds
	lines = append(lines, CostLine{"short syncs", syncs, syncs * short.Bytes, syncs * short.Micros})
	// Each change of a worker's grants causes a full sync by its keeper and by each
	// of the two backups. A job has four changes: hold, start, run and end.
	fulls := 4 * 3 * d.Jobs * d.WorkersPerJob / daySeconds / float64(n)
	lines = append(lines, CostLine{"full syncs", fulls, fulls * full.Bytes, fulls * full.Micros})
	ping := r.exchange("ping")
	const pings = 10 // each second, an instance pings five others and is pinged by five
	lines = append(lines, CostLine{"pings", pings, pings * ping.Bytes, pings * ping.Micros})
	decide := r.Samples[len(r.Samples)-1].DecideMicros
	// The instances of four ranks run the scheduler at each change; an instance is
	// among them with a probability of 4/n.
	rounds := appends * min(1, 4/float64(n))
	lines = append(lines, CostLine{"scheduling rounds", rounds, 0, rounds * decide})
	return lines
}

// Write prints the samples, the slopes and the cost of an instance.
func (r *Report) Write(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "workers\ttasks\taccounts\tstate MiB\tsnapshot KiB\tsplit ms\tload ms\tload heap MiB\tdecide us\t")
	for _, s := range r.Samples {
		fmt.Fprintf(t, "%d\t%d\t%d\t%.1f\t%.0f\t%.0f\t%.0f\t%.1f\t%.0f\t\n", s.Size.Workers, s.Size.Tasks, s.Size.Accounts,
			s.StateBytes/(1<<20), s.SnapshotBytes/1024, s.SplitMillis, s.LoadMillis, s.LoadHeapBytes/(1<<20), s.DecideMicros)
	}
	fmt.Fprintln(t, "\nslope\tbase\tper 1000 tasks\t")
	for _, row := range []struct {
		name string
		y    func(*Sample) float64
	}{
		{"state KiB", func(s *Sample) float64 { return s.StateBytes / 1024 }},
		{"snapshot KiB", func(s *Sample) float64 { return s.SnapshotBytes / 1024 }},
		{"load ms", func(s *Sample) float64 { return s.LoadMillis }},
	} {
		base, perTask := r.fitByTasks(row.y)
		fmt.Fprintf(t, "%s\t%.1f\t%.2f\t\n", row.name, base, perTask*1000)
	}
	fmt.Fprintln(t, "\nrecord\tbytes\tfold us\t")
	for _, k := range []record.Kind{
		record.KindPublish, record.KindSubmit, record.KindPlace, record.KindStart, record.KindReport, record.KindClaim, record.KindSettle,
	} {
		bytes, micros := r.recordCost(k)
		fmt.Fprintf(t, "%s\t%.0f\t%.1f\t\n", k, bytes, micros)
	}
	fmt.Fprintln(t, "\nexchange\tbytes\tus\t")
	for _, e := range r.Exchanges {
		fmt.Fprintf(t, "%s\t%.0f\t%.0f\t\n", e.Name, e.Bytes, e.Micros)
	}
	for _, v := range []struct {
		instances int
		lease     float64
	}{{96, 15}, {96, 60}, {192, 60}} {
		d := TargetLoad
		d.LeaseSeconds = v.lease
		r.writeInstance(t, v.instances, d)
	}
	return t.Flush()
}

// writeInstance writes the cost of one of n instances and its share of the budgets.
func (r *Report) writeInstance(w io.Writer, n int, d DailyLoad) {
	fmt.Fprintf(w, "\none of %d instances, lease %.0f s\trate/s\tB/s\tus/s\t\n", n, d.LeaseSeconds)
	var bytes, micros float64
	for _, l := range r.InstanceCost(n, d) {
		fmt.Fprintf(w, "%s\t%.3f\t%.0f\t%.0f\t\n", l.Name, l.Rate, l.Bytes, l.Micros)
		bytes += l.Bytes
		micros += l.Micros
	}
	fmt.Fprintf(w, "in all\t\t%.0f\t%.0f\t\n", bytes, micros)
	fmt.Fprintf(w, "of the budget\t\t%.2f\t%.2f\t\n", bytes/BudgetBytesPerSecond, micros/1e6/BudgetCPUs)
}
