package compat_test

import (
	"bytes"
	"os"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// The disks of three nodes of d330930 were left by a kill: version 7 of the configuration was in force, the
// evacuation of "north" had begun, that of "south" had begun and finished. Whatever happened to one of the disks
// since, three nodes of this version go on from there.
func TestDisksOfTheOlderVersionAreReadOn(t *testing.T) {
	const disk0, disk1, disk2 = "7a2179a73216820c", "18807b5a4df411fc", "ae187abbb65f010d"
	edit := func(change func([]byte) []byte) func(*testing.T, string) {
		return func(t *testing.T, dir string) {
			file := segment(t, dir)
			text, err := os.ReadFile(file)
			if err == nil {
				err = os.WriteFile(file, change(text), 0o600)
			}
			if err != nil {
				t.Fatal(err)
			}
		}
	}
	for _, c := range []struct {
		name    string
		disk    string // of core-2
		damage  func(t *testing.T, dir string)
		stays   bool // core-2 is who it was
		version int  // of the configuration that all have in the end
	}{
		{name: "whole", disk: "core-2", stays: true, version: 7},
		{name: "torn in its last commit", disk: "core-2", stays: true, version: 7,
			damage: edit(func(b []byte) []byte { return b[:len(b)-3] })},
		{name: "damaged in what was synced", disk: "core-2", version: 7,
			damage: edit(func(b []byte) []byte {
				at := bytes.Index(b, []byte("b/charter"))
				b[at] ^= 1
				return b
			})},
		{name: "wiped", disk: "core-2", version: 7, damage: func(t *testing.T, dir string) {
			if err := os.Remove(segment(t, dir)); err != nil {
				t.Fatal(err)
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			dirs := []string{copyDisk(t, "core-0"), copyDisk(t, "core-1"), copyDisk(t, c.disk)}
			if c.damage != nil {
				c.damage(t, dirs[2])
			}
			synctest.Test(t, func(t *testing.T) {
				network := newNet()
				var nodes []*node
				for i, dir := range dirs {
					nodes = append(nodes, startNode(t, network, i, dir))
				}
				time.Sleep(8 * time.Second)
				for _, n := range nodes {
					n.wantConfiguration(configuration(t, c.version))
					s := n.status()
					if !slices.Equal(s.Evacuated, []string{"north"}) || s.Changing || !s.InTouch || len(s.Voters) != 3 {
						t.Errorf("%s: %+v", n.name, s)
						continue
					}
					for i, disk := range []string{disk0, disk1, disk2} {
						if v := s.Voters[i]; (v.Disk == disk) != (i < 2 || c.stays) || !v.Whole {
							t.Errorf("%s: voter %+v", n.name, v)
						}
					}
				}
				nodes[0].wantOK("config.replace", "", configuration(t, 8))
				nodes[1].wantOK("evacuation.finish", "north", "")
				nodes[0].stop()
				time.Sleep(2 * time.Second)
				nodes[2].wantConfiguration(configuration(t, 8)) // with one of the others alone
				if s := nodes[2].status(); len(s.Evacuated) > 0 {
					t.Errorf("evacuated: %q", s.Evacuated)
				}
				nodes[1].stop()
				nodes[2].stop()
				time.Sleep(10 * time.Second)
			})
		})
	}
}

// core-0 had accepted version 8 when it was killed, and nobody else had. Where its disk is there the order is finished;
// where it is away, it does not count.
func TestHalfDoneOrderOfTheOlderVersion(t *testing.T) {
	for _, c := range []struct {
		name    string
		first   int // the first node that is started
		version int
	}{{"its disk is there", 0, 8}, {"its disk is away", 1, 7}} {
		t.Run(c.name, func(t *testing.T) {
			dirs := []string{copyDisk(t, "core-0-half-done"), copyDisk(t, "core-1"), copyDisk(t, "core-2")}
			synctest.Test(t, func(t *testing.T) {
				network := newNet()
				var nodes []*node
				for i := c.first; i < 3; i++ {
					nodes = append(nodes, startNode(t, network, i, dirs[i]))
				}
				time.Sleep(3 * time.Second)
				for _, n := range nodes {
					n.wantConfiguration(configuration(t, c.version))
				}
				for _, n := range nodes {
					n.stop()
				}
				time.Sleep(10 * time.Second)
			})
		})
	}
}

// The names of the records and of their folder are what d330930 looks for.
func TestRecordNamesStay(t *testing.T) {
	dir := t.TempDir()
	synctest.Test(t, func(t *testing.T) {
		network := newNet()
		var nodes []*node
		for i := range 3 {
			nodes = append(nodes, startNode(t, network, i, dir+"/"+nodeZones[i]))
		}
		time.Sleep(3 * time.Second)
		nodes[0].wantOK("config.replace", "", configuration(t, 7))
		nodes[0].wantOK("evacuation.begin", "west", "")
		time.Sleep(time.Second)
		for _, n := range nodes {
			n.stop()
		}
		time.Sleep(10 * time.Second)
	})
	for _, zone := range nodeZones {
		text, err := os.ReadFile(segment(t, dir+"/"+zone))
		if err != nil {
			t.Fatal(err)
		}
		for _, name := range []string{"disk", "epoch", "complete", "b/epoch", "b/charter", "b/zone/west"} {
			// In an entry a name stands behind its length.
			if !strings.Contains(string(text), string([]byte{byte(len(name)), 0})+name) {
				t.Errorf("%s: no record %q", zone, name)
			}
		}
	}
}
