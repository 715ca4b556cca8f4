package flatsettings

import "testing"

// Values that are out of range or not finite are bounded or replaced by defaults, and unknown keys are ignored.
func TestUnusualValues(t *testing.T) {
	text := "Classes.count=1e9\nSpecifics.LinesPerS=NaN\nSpecifics.PendingMax=inf\nPeersTotal=-4\nLater.Key=x\n"
	settings, err := ParseLines(text)
	if err != nil {
		t.Fatal(err)
	}
	d, err := Decode(settings)
	if err != nil || len(d.Products) != MaxProducts || d.LinesPerSecond != 0 || d.MaxQueuedLines != 0 {
		t.Errorf("%+v, %v", d, err)
	}
}

// Zones and kinds are given by index or by name; an unknown name is an error of its key.
func TestIndices(t *testing.T) {
	settings := map[string]string{"Zones": "a,b,c", "Shapes": "s,m", "Classes.count": "1", "Classes.0.OnlyZones": "0,c",
		"Classes.0.OnlyKinds": "m"}
	d, err := Decode(settings)
	if err != nil || d.Products[0].OnlyZones[1] != 2 || d.Products[0].OnlyKinds[0] != 1 {
		t.Errorf("%+v, %v", d, err)
	}
	settings["Classes.0.OnlyZones"] = "0,x"
	if _, err = Decode(settings); err == nil || err.Error() != `launch settings: Classes.0.OnlyZones: cannot read "0,x"` {
		t.Errorf("error %v", err)
	}
}
