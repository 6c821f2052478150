// Package loadgenerator submits jobs to a running system as a plan says and measures
// what becomes of them. Arrivals do not wait for answers, as those of many
// independent callers: a slow system gets no fewer jobs.
package loadgenerator
