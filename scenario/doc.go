// Package scenario holds end-to-end scenario tests. Each scenario runs the real programs as
// separate processes on loopback and injects faults. The scripts are in testdata; the test files of
// this package implement the commands that the scripts use.
package scenario
