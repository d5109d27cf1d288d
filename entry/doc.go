// Package entry runs one instance of the system. It connects the replica of the
// state, the scheduler, the clients of workers and backend servers, the failure
// detector and the HTTP APIs for callers and operators. All instances run the
// same program and have equal roles.
package entry
