// Package client implements a client for the HTTP APIs of an instance, for the
// command line tool and for programs of callers and operators.
package client
