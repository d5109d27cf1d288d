// Package trace evaluates the scheduler and the request routing on traces. It
// reads traces of jobs, requests and faults, simulates them in virtual time
// once with the product's scheduling and routing code and once with a naive
// baseline, and compares the measures of both. It also generates the traces in
// testdata.
package trace
