// Package latency estimates how long the store takes to answer.
package latency
