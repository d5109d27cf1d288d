// Package e2e tests entry instances as separate processes, which it kills,
// freezes and cuts off; stand-ins for the platform run in the test process.
package e2e
