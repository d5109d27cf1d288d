// Package workerhealth estimates, from the runs of all jobs, how fast each worker
// is and how likely a run on it fails. It reads no clock and sends no requests.
//
// It is made for workloads in which some workers, racks or failure domains are
// slower than others or fail a share of what they start, while nothing but the
// progress and the ends of runs says so. Tasks of one step differ by some 30%, a few
// take many times as long, and the run times that callers declare are far off.
// Speeds are therefore learned only from runs of the same step, with medians. What
// is known of a worker's rack and failure domain stands in for what is not known of
// the worker itself.
package workerhealth
