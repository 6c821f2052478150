// Package standin provides a stand-in for a backend server that counts the tasks
// it starts, for tests and local runs.
package standin
