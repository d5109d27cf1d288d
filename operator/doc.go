// Package operator provides the HTTP API for operators: configuration, accounts,
// jobs, workers, instances, health checks and metrics.
package operator
