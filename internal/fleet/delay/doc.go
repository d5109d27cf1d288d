// Package delay holds waits that end with a context.
package delay
