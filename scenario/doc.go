// Package scenario holds the scripted scenarios: each runs the real programs
// as separate processes on loopback and makes them fail. The scripts are in
// testdata; the commands that they use are in the package's tests.
package scenario
