// Package tests runs the daemon as separate processes and causes the failures
// that the guarantees speak of. It holds tests only.
package tests
