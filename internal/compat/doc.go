// Package compat holds the compatibility tests of the gateway: what version d330930 stored on its disks and sent to its
// peers, operators and endpoints, as golden files, and tests that the version at hand still reads and writes the same.
//
// The files under testdata were written by d330930 and never change. A test here that fails means that a node of that
// version could no longer work beside this one, or that a disk of that version could no longer be read.
package compat
