// Package e2e tests entry instances that run as separate processes. The tests
// kill and pause these processes. Stand-ins for the platform's services run in
// the test process and inject faults.
package e2e
