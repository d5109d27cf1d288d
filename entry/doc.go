// Package entry is one entry instance: it wires the replica of the log, the
// decisions, the workers, the callers' and the operators' API together. All
// instances run the same program and none is special.
package entry
