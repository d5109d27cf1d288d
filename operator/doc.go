// Package operator is the HTTP API for operators: configuration, accounts,
// jobs, workers, instances, health and metrics.
package operator
