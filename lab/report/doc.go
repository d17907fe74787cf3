// Package report turns the results of experiments into one HTML file with
// tables and plots, the systems side by side.
package report
