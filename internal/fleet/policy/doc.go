// Package policy holds the operators' configuration in the project's terms.
package policy
