// Package trace reads recorded traces, replays them over simulated time
// through the product's decisions and through a naive baseline, and compares
// the measures of both.
package trace
