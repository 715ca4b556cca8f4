package warmstart

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
)

// The encoding of a Fact between controllers must not change.
func TestFactEncoding(t *testing.T) {
	f := Fact{
		Kind: Usage, Key: "k", State: "s", Value: 2, Note: "n", Revision: 3, Age: 4, Origin: "o", Uncertainty: 0.5,
	}
	data, err := cbor.Marshal(f)
	if err != nil {
		t.Fatal(err)
	}
	got, err := cbor.Diagnose(data)
	if err != nil {
		t.Fatal(err)
	}
	want := `{"Kind": 4, "Key": "k", "State": "s", "Value": 2.0, "Note": "n", "Revision": 3, "Age": 4, ` +
		`"Origin": "o", "Doubt": 0.5}`
	if got != want {
		t.Errorf("encoded as %s, want %s", got, want)
	}
}
