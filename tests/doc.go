// Package tests runs the daemon as separate processes, causes the failures that
// the guarantees cover, and checks the guarantees. It contains only tests.
package tests
