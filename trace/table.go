package trace

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
)

// WriteTable writes the result as a text table.
func (r Result) WriteTable(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(tw, "%s (%s)\tproduct\tnaive\tratio\t\n", r.Trace, r.User)
	row := func(name string, p, n float64, format string) {
		fmt.Fprintf(tw, "%s\t"+format+"\t"+format+"\t%.2f\t\n", name, p, n, ratio(p, n))
	}
	names := map[string]bool{}
	for _, c := range slices.Concat(r.Product.Types, r.Naive.Types) {
		names[c.Type] = true
	}
	for _, name := range slices.Sorted(maps.Keys(names)) {
		p, n := r.Product.Type(name), r.Naive.Type(name)
		row(name+" count", float64(p.Count), float64(n.Count), "%.0f")
		row(name+" mean s", p.Mean/1000, n.Mean/1000, "%.3f")
		row(name+" p50 s", float64(p.P50)/1000, float64(n.P50)/1000, "%.3f")
		row(name+" p95 s", float64(p.P95)/1000, float64(n.P95)/1000, "%.3f")
		row(name+" p99 s", float64(p.P99)/1000, float64(n.P99)/1000, "%.3f")
	}
	row("fragmentation", r.Product.Fragmentation, r.Naive.Fragmentation, "%.3f")
	row("lost accelerator s", r.Product.Lost, r.Naive.Lost, "%.0f")
	row("starts", float64(r.Product.Starts), float64(r.Naive.Starts), "%.0f")
	row("gangs started", float64(r.Product.Gangs), float64(r.Naive.Gangs), "%.0f")
	row("end s", float64(r.Product.End)/1000, float64(r.Naive.End)/1000, "%.0f")
	if err := tw.Flush(); err != nil {
		return err
	}
	var parts []string
	for _, k := range slices.Sorted(maps.Keys(r.Values)) {
		parts = append(parts, fmt.Sprintf("%s=%.4g", k, r.Values[k]))
	}
	_, err := fmt.Fprintf(w, "%s\njobs %v, naive %v; requests %v, naive %v; refused records %v; requests not done %v; %d ms\n",
		strings.Join(parts, " "), r.Product.Jobs, r.Naive.Jobs, r.Product.Fates, r.Naive.Fates, r.Refused, r.Shed, r.Took)
	return err
}

// WriteJSON writes the result as indented JSON.
func (r Result) WriteJSON(w io.Writer) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(r)
}
