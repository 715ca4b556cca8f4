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

// Three nodes of the current version start with the disks of three nodes of d330930 that were killed. One of the disks
// may be damaged. The nodes recover the state at the kill: version 7 of the configuration is committed, "north" is
// evacuated, and the evacuation of "south" is finished.
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
		stays   bool // core-2 keeps its disk ID
		version int  // of the configuration after the recovery
	}{
		{name: "intact", disk: "core-2", stays: true, version: 7},
		{name: "truncated last commit", disk: "core-2", stays: true, version: 7,
			damage: edit(func(b []byte) []byte { return b[:len(b)-3] })},
		{name: "damaged synced record", disk: "core-2", version: 7,
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
				nodes[2].wantConfiguration(configuration(t, 8)) // read by a majority of two nodes
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

// Only core-0 had accepted version 8 when the nodes of d330930 were killed. If its disk is present, version 8 is
// committed; otherwise version 7 stays.
func TestHalfDoneOrderOfTheOlderVersion(t *testing.T) {
	for _, c := range []struct {
		name    string
		first   int // index of the first node that is started
		version int
	}{{"disk present", 0, 8}, {"disk missing", 1, 7}} {
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

// Records and their directory have the names that d330930 reads, and that of departures, which it does not know.
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
		nodes[0].wantOK("instances.deregister", "i-1", "")
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
		for _, name := range []string{"disk", "epoch", "complete", "b/epoch", "b/charter", "b/zone/west", "endpoint/0"} {
			// In an entry, the name follows its length.
			if !strings.Contains(string(text), string([]byte{byte(len(name)), 0})+name) {
				t.Errorf("the disk of the node in zone %s has no record %q", zone, name)
			}
		}
	}
}
