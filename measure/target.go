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

// Load is an ordinary day at the target size.
type Load struct {
	Changes   float64 // configuration changes a day
	Jobs      float64 // jobs a day
	Workers   float64 // workers of one job: 190,000 tasks, two on each worker, run for 6 h
	Restarts  float64 // instances that fail or are replaced a day
	Lease     float64 // seconds; a keeper syncs three times a lease, two backups half as often
	Snapshots float64 // a day
}

// Day is the load that docs/CAPACITY.md assumes: 9,500 jobs a day of 6 h each
// keep 190,000 tasks running when a job has 80 tasks.
var Day = Load{Changes: 27_000, Jobs: 9_500, Workers: 40, Restarts: 1_160, Lease: 15, Snapshots: 16}

// Budgets of a node for control.
const (
	BudgetCPU    = 0.029
	BudgetBytes  = 4 << 10 // a second
	BudgetMemory = 128 << 20
)

const daySeconds = 86_400

// Line is one contribution to the cost of an entry instance.
type Line struct {
	Name   string
	Rate   float64 // a second
	Bytes  float64 // a second
	Micros float64 // processor time a second
}

// Report holds the samples and what follows from them.
type Report struct {
	Samples []*Sample
	Units   []Unit
}

// Run measures all sizes and units; progress tells what is measured next.
func Run(ctx context.Context, progress io.Writer) (*Report, error) {
	r := &Report{}
	for _, z := range Sizes {
		fmt.Fprintf(progress, "measuring %d workers, %d tasks, %d accounts\n", z.Workers, z.Tasks, z.Accounts)
		s, err := Take(z)
		if err != nil {
			return nil, err
		}
		r.Samples = append(r.Samples, s)
	}
	fmt.Fprintln(progress, "measuring exchanges")
	var err error
	r.Units, err = Units(ctx)
	return r, err
}

// slope fits a line through the samples; x is the number of tasks.
func (r *Report) slope(y func(*Sample) float64) (base, perTask float64) {
	var xs, ys []float64
	for _, s := range r.Samples {
		xs, ys = append(xs, float64(s.Size.Tasks)), append(ys, y(s))
	}
	return stat.LinearRegression(xs, ys, nil, false)
}

func (r *Report) unit(name string) Unit {
	i := slices.IndexFunc(r.Units, func(u Unit) bool { return u.Name == name })
	return r.Units[i]
}

// record returns what one record of the kind costs, at the largest size.
func (r *Report) record(k record.Kind) (bytes, micros float64) {
	c := r.Samples[len(r.Samples)-1].Kinds[k]
	return float64(c.Bytes) / float64(c.Records), float64(c.Time.Microseconds()) / float64(c.Records)
}

// Instance returns what one of n entry instances spends in a second of an
// ordinary day, by cause.
func (r *Report) Instance(n int, d Load) []Line {
	var lines []Line
	appends := 0.0
	add := func(name string, kind record.Kind, perDay, scale float64) {
		bytes, micros := r.record(kind)
		rate := perDay / daySeconds
		appends += rate
		lines = append(lines, Line{name, rate, rate * bytes * scale, rate * micros * scale})
	}
	// Jobs were measured with 8 workers; their placements grow with them.
	grow := d.Workers / span
	add("log: configuration", record.KindPublish, d.Changes, 1)
	add("log: submissions", record.KindSubmit, d.Jobs, 1)
	add("log: placements", record.KindPlace, d.Jobs, grow)
	add("log: starts", record.KindStart, d.Jobs, grow)
	add("log: reports", record.KindReport, d.Jobs*d.Workers, 1)
	add("log: members", record.KindSettle, 2*d.Restarts, 1) // a join or leave is as small as a settlement
	snap := r.Samples[len(r.Samples)-1].SnapshotBytes
	lines = append(lines, Line{"log: snapshots read", d.Snapshots / daySeconds, d.Snapshots / daySeconds * snap, 0})
	poll := r.unit("poll")
	polls := appends + 1
	lines = append(lines, Line{"log: polls", polls, polls * poll.Bytes, polls * poll.Micros})
	short, full := r.unit("short sync"), r.unit("full sync")
	syncs := float64(Target.Workers) / float64(n) * 2 * 3 / d.Lease
	lines = append(lines, Line{"short syncs", syncs, syncs * short.Bytes, syncs * short.Micros})
	// A full sync of each of the three keepers for each change of a worker's
	// grants: hold, start, run and end of a job.
	fulls := 4 * 3 * d.Jobs * d.Workers / daySeconds / float64(n)
	lines = append(lines, Line{"full syncs", fulls, fulls * full.Bytes, fulls * full.Micros})
	ping := r.unit("ping")
	const pings = 10 // an instance watches five others and is watched by five, each once a second
	lines = append(lines, Line{"pings", pings, pings * ping.Bytes, pings * ping.Micros})
	decide := r.Samples[len(r.Samples)-1].DecideMicros
	// Four ranks decide at each change; an instance is among them with 4/n.
	rounds := appends * min(1, 4/float64(n))
	lines = append(lines, Line{"scheduling rounds", rounds, 0, rounds * decide})
	return lines
}

// Write prints the samples, the slopes and the cost of an instance.
func (r *Report) Write(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "workers\ttasks\taccounts\tstate MiB\tsnapshot KiB\tsplit ms\tload ms\tload heap MiB\tdecide us\t")
	for _, s := range r.Samples {
		fmt.Fprintf(t, "%d\t%d\t%d\t%.1f\t%.0f\t%.0f\t%.0f\t%.1f\t%.0f\t\n", s.Size.Workers, s.Size.Tasks, s.Size.Accounts,
			s.StateBytes/(1<<20), s.SnapshotBytes/1024, s.SplitMillis, s.LoadMillis, s.LoadHeap/(1<<20), s.DecideMicros)
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
		base, per := r.slope(row.y)
		fmt.Fprintf(t, "%s\t%.1f\t%.2f\t\n", row.name, base, per*1000)
	}
	fmt.Fprintln(t, "\nrecord\tbytes\tfold us\t")
	for _, k := range []record.Kind{
		record.KindPublish, record.KindSubmit, record.KindPlace, record.KindStart, record.KindReport, record.KindClaim, record.KindSettle,
	} {
		bytes, micros := r.record(k)
		fmt.Fprintf(t, "%s\t%.0f\t%.1f\t\n", k, bytes, micros)
	}
	fmt.Fprintln(t, "\nexchange\tbytes\tus\t")
	for _, u := range r.Units {
		fmt.Fprintf(t, "%s\t%.0f\t%.0f\t\n", u.Name, u.Bytes, u.Micros)
	}
	for _, v := range []struct {
		instances int
		lease     float64
	}{{96, 15}, {96, 60}, {192, 60}} {
		d := Day
		d.Lease = v.lease
		r.writeInstance(t, v.instances, d)
	}
	return t.Flush()
}

func (r *Report) writeInstance(w io.Writer, n int, d Load) {
	fmt.Fprintf(w, "\none of %d instances, lease %.0f s\trate/s\tB/s\tus/s\t\n", n, d.Lease)
	var bytes, micros float64
	for _, l := range r.Instance(n, d) {
		fmt.Fprintf(w, "%s\t%.3f\t%.0f\t%.0f\t\n", l.Name, l.Rate, l.Bytes, l.Micros)
		bytes += l.Bytes
		micros += l.Micros
	}
	fmt.Fprintf(w, "in all\t\t%.0f\t%.0f\t\n", bytes, micros)
	fmt.Fprintf(w, "of the budget\t\t%.2f\t%.2f\t\n", bytes/BudgetBytes, micros/1e6/BudgetCPU)
}
