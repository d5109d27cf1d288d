// Package route decides where and when a request to a backend server is sent:
// choice of server, connection and slot shares, circuit breakers, priorities,
// load shedding and the retry budget. It does no I/O; the time is a parameter
// (Unix milliseconds) and randomness is a function field.
package route
