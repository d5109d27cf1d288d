// Package metric holds the expvar counters and the gauges of one instance and
// serves them as JSON. It has no global variables, so that several instances can
// run in one process.
package metric
