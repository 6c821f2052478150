// Package reporter renders the logs and metrics of a day as one self-contained
// HTML page with plots.
package reporter
