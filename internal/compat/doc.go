// Package compat tests that the gateway is compatible with version d330930: with its disks, and with its messages to
// peers, operators and endpoints.
//
// Version d330930 wrote the files under testdata, which must never change. If a test fails, nodes of that version may
// not work together with nodes of the current version, or the current version may not read disks of that version.
package compat
