// Package placement decides where jobs and guarantee blocks lie. All of it is
// pure: it reads a state and returns records to propose.
package placement
