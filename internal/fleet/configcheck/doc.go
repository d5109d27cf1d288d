// Package configcheck finds faults in a version of the operators' configuration
// before it is sent, and lists how it differs from the version in force.
package configcheck
