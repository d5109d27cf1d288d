// Package delay provides waits that a context can interrupt.
package delay
