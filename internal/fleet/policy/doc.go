// Package policy holds the platform's configuration, which the operators set:
// routes, services, client accounts and limits of requests.
package policy
