// Package metric holds an instance's expvar counters and gauges, without
// globals, so that several instances can run in one process.
package metric
