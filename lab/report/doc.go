// Package report generates an HTML file from the results of experiments, with
// tables and plots that compare the systems.
package report
