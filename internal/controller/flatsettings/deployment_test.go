package flatsettings

import "testing"

func TestOdd(t *testing.T) {
	// stay usable
	odd := "Classes.count=1e9\nSpecifics.LinesPerS=NaN\nSpecifics.PendingMax=inf\nPeersTotal=-4\nLater.Key=x\n"
	flat, err := ParseLines(odd)
	if err != nil {
		t.Fatal(err)
	}
	if d, err := Decode(
		flat,
	); err != nil || len(d.Products) != MaxProducts || d.LinesPerSecond != 0 ||
		d.MaxQueuedLines != 0 {
		t.Errorf("%+v, %v", d, err)
	}
}

// Places come as numbers or as the names that the list of places gives; an unknown one is a fault of its key.
func TestPlaces(t *testing.T) {
	flat := map[string]string{"Zones": "a,b,c", "Shapes": "s,m", "Classes.count": "1", "Classes.0.OnlyZones": "0,c",
		"Classes.0.OnlyKinds": "m"}
	d, err := Decode(flat)
	if err != nil || d.Products[0].OnlyZones[1] != 2 || d.Products[0].OnlyKinds[0] != 1 {
		t.Errorf("%+v, %v", d, err)
	}
	flat["Classes.0.OnlyZones"] = "0,x"
	if _, err = Decode(flat); err == nil || err.Error() != `launch settings: Classes.0.OnlyZones: cannot read "0,x"` {
		t.Errorf("error %v", err)
	}
}
