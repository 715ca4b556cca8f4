package simwire

import (
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"reflect"
	"slices"
	"strings"
	"testing"

	"elmfold/internal/policy"
)

const settings = "Ceilings.Probes=true\nClasses.count=2\nClasses.0.Credit=2.0\nClasses.0.Promise=800050\n" +
	"Classes.1.Credit=5.0\nClasses.1.OnlyZones=0,2\nDiscovery=subscribe\nGuarantees.Cold=17000001\n" +
	"Guarantees.DrainBindsAlone=true\nLater.Unknown=x\nPeersTotal=2\n" +
	"Report.Fields=cpu,active,avg_ms,other\nSpecifics.ClassOwnZone=false,true\n" +
	"Specifics.LinesPerS=3700.0\nSpecifics.MessagesOver=10000050\nSpecifics.ProxyCount=12\n" +
	"Specifics.ThrottleBy=ratio\nZones=a,b,c\n"

// record starts a record of instance 3.
func record(code byte, fields ...any) []byte {
	var b bytes.Buffer
	b.Write([]byte{code, 0, 3})
	for _, f := range fields {
		if s, ok := f.(string); ok {
			b.WriteString(s)
		} else {
			_ = binary.Write(&b, binary.BigEndian, f)
		}
	}
	return b.Bytes()
}

func frame(records ...[]byte) []byte {
	body := bytes.Join(records, nil)
	head := binary.BigEndian.AppendUint64(nil, 0x805c5a)
	head = binary.BigEndian.AppendUint32(head, uint32(len(body)))
	return append(binary.BigEndian.AppendUint32(head, uint32(len(records))), body...)
}

func launch(text string) []byte { return record(10, uint64(7), uint32(len(text)), text) }

const addr = "\x0a\x12\x4a\x07\x2b\xc3"

func members(kind byte) []byte {
	return record(20, uint64(41), kind, uint32(1), uint8(1), uint16(4), uint8(1), uint8(0), addr, uint64(6100000),
		float32(1.5))
}

func TestDecode(t *testing.T) {
	up := record(70, uint8(1), uint8(2), float32(6.5), uint16(41))
	in := frame(launch(settings), members(3), up,
		record(30, uint32(77)), record(40, addr, uint8(4), uint32(1400), uint8(1), float32(0.5)),
		record(50, uint32(2), uint16(4), "hi 7"), record(80, uint16(41)),
		record(90, uint16(41), uint64(12), uint32(281172)),
		record(100, uint8(2), addr, uint32(14), uint32(1), uint32(48250), uint32(1000000), uint8(0)),
		record(110, uint16(41), uint8(1), uint32(9), uint32(2), uint32(2000000)),
		record(120, uint8(0), uint32(1000000), uint32(23), uint32(2), uint16(117)),
		record(130, uint8(1), uint16(117)), record(140, uint16(117), float32(1), addr), record(60))
	batch, err := NewDecoder(bytes.NewReader(in)).Next()
	if err != nil {
		t.Fatal(err)
	}
	launch, ok := batch.Records[0].Event.(Launch)
	if !ok {
		t.Fatalf("first event is a %T", batch.Records[0].Event)
	}
	d := launch.Deployment
	p, q := d.Products[0], d.Products[1]
	if p.SLA != 8000 || !q.OwnZone || len(q.OnlyZones) != 2 || d.WarmupTime != 170001 || d.MessageWindow != 100001 ||
		d.HonorRemovals || !d.ListOnRequest || d.Limits != policy.LimitShare ||
		d.Zones != 3 || len(d.Gauges) != 4 ||
		d.Gauges[1] != policy.GaugeInFlight {
		t.Errorf("settings read as %+v", d)
	}
	want := []any{
		policy.TimerFired{Name: 77}, policy.ProbeResult{Load: []float64{0.5}}, nil,
		policy.ProxyDisconnected{}, policy.MarkerAcked{Number: 12},
		policy.BackendReport{Attempts: 14, Failed: 1, Latency: 482},
		policy.UsageReport{Product: 1, Txns: 9, Failed: 2, Period: 20000},
		nil, nil, nil, Stop{},
	}
	if j, ok := batch.Records[2].Event.(policy.ProxyConnected); !ok || j.Zone != 2 || j.Rate != 6.5 {
		t.Errorf("joined read as %+v", j)
	}
	for i, w := range want {
		if got := batch.Records[i+3].Event; !reflect.DeepEqual(got, w) {
			t.Errorf("record %d read as %+v, want %+v", i+3, got, w)
		}
	}
	list, _ := batch.Records[1].Event.(policy.ListUpdate)
	e := policy.Entry{Zone: 1, Status: policy.Ready, StartedAt: 61000, Weight: 1.5}
	if list.Kind != policy.ListCached || list.Entries[0] != e {
		t.Errorf("list read as %+v", list)
	}
}

// What names an unknown backend, proxy or product is read past.
func TestUnknown(t *testing.T) {
	in := frame(launch(settings), record(80, uint16(5)), record(110, uint16(5), uint8(9), uint32(1), uint32(1), uint32(1)),
		record(100, uint8(0), addr, uint32(1), uint32(1), uint32(1), uint32(1), uint8(0)))
	batch, err := NewDecoder(bytes.NewReader(in)).Next()
	let := func(r Record) bool { return r.Event != nil }
	if err != nil || slices.ContainsFunc(batch.Records[1:], let) {
		t.Errorf("%+v, %v", batch.Records, err)
	}
}

func TestMalformed(t *testing.T) {
	huge := frame()
	binary.BigEndian.PutUint32(huge[8:], 1<<32-1)
	count := frame(launch(settings))
	count[15] = 9
	over := frame(launch(settings), []byte{1, 2, 3, 4})
	over[15] = 1
	for name, in := range map[string][]byte{
		"short header":    frame()[:7],
		"huge size":       huge,
		"bad count":       count,
		"bytes left":      over,
		"unknown code":    frame(launch(settings), record(99)),
		"not launched":    frame(record(30, uint32(1))),
		"text cut off":    frame(record(10, uint64(7), uint32(1<<31), "Zones=a")),
		"entries cut off": frame(launch(settings), record(20, uint64(1), uint8(2), uint32(1<<30))),
		"kind of list":    frame(launch(settings), members(7)),
		"load cut off":    frame(launch(settings), members(2), record(40, addr, uint8(0), uint32(1), uint8(200))),
		"no equals sign":  frame(launch("Zones")),
		"not a number":    frame(launch("Classes.count=two")),
	} {
		_, err := NewDecoder(bytes.NewReader(in)).Next()
		if err == nil || errors.Is(err, io.EOF) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: error %v, want one line", name, err)
		}
	}
	if _, err := NewDecoder(bytes.NewReader(nil)).Next(); !errors.Is(err, io.EOF) {
		t.Errorf("end of input: %v", err)
	}
}

func TestReply(t *testing.T) {
	dec := NewDecoder(
		bytes.NewReader(frame(launch(settings), members(2), record(70, uint8(0), uint8(0), float32(1), uint16(41)))),
	)
	_, _ = dec.Next()
	r := NewReply(dec)
	r.Add(3, []policy.Order{
		policy.SetWeight{
			Table:  117,
			Weight: 0.75,
		},
		policy.ClearTable{Table: 117},
		policy.AssignTable{Table: 117},
		policy.Withdraw{Withdrawn: true},
		policy.Admission{
			Table:     117,
			RateLimit: 0.75,
			Retries:   policy.RetryUnexecuted,
			Products:  2,
		},
		policy.Marker{Number: 12},
		policy.SetTimer{Delay: 5000, Name: 77},
		policy.Probe{},
		policy.PeerMessage{To: policy.AllPeers, Data: []byte("hi 7")},
		policy.WatchList{Enabled: true},
		policy.ReloadList{},
		policy.Log{Text: "two"},
	})
	r.Bail(3, "index out of range")
	var out bytes.Buffer
	_, _ = r.WriteTo(&out)
	want := bytes.Join([][]byte{
		record(130, uint16(117), addr, float32(0.75)), record(110, uint16(117)),
		record(10, uint16(41), uint16(117), uint16(0)), record(30, addr, uint8(1)),
		record(60, uint16(117), float32(0.75), uint8(1), uint16(2)), record(70, uint64(12), uint8(0)),
		record(50, uint32(500000), uint32(77)), record(80, addr), record(40, uint16(0xffff), uint16(4), "hi 7"),
		record(20, uint8(1)), record(120), record(90, uint16(3), "two"), record(100, uint16(18), "index out of range"),
	}, nil)
	if got := out.Bytes(); binary.BigEndian.Uint32(got[4:]) != 13 || !bytes.Equal(got[8:], want) {
		t.Errorf("reply\n%x\nwant\n%x", got[8:], want)
	}
}
