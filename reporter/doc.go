// Package reporter turns the logs and metrics of a day into one HTML page with
// plots, which needs nothing else to be looked at.
package reporter
