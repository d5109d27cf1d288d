// Package route decides when a request is sent and to which backend server. It
// chooses servers, divides their connections and slots among the instances, and
// has circuit breakers, priority classes, load shedding and a retry budget. It
// does no I/O. Functions take the time as a parameter, in Unix milliseconds, and
// random numbers come from a function.
package route
