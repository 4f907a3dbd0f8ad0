package serve

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"croftmoor.dev/kernel/clock"
)

const fullSettings = `{"Instance":"a-1","Zone":"a","Listen":{"Callers":"127.0.0.1:0","Peers":"127.0.0.1:0","Admin":"127.0.0.1:0"},
"Platform":{"Log":{"Kind":"Http","Address":"127.0.0.1:1"},"List":{"Kind":"Http","Address":"127.0.0.1:2"},"Weights":"127.0.0.1:3"},
"EngineProtocol":"Sse","CrossingMillis":1,"CheckpointMillis":60000,"RepeatWindowMillis":120000,"DrainMillis":30000,
"ListPeriodMillis":500,"LoadPeriodMillis":250,"Subset":32,"LogLevel":"info","DecisionsPerSecond":1000,
"Operators":[{"Name":"o","TokenSha256":"0000000000000000000000000000000000000000000000000000000000000000","Teams":["*"]}]}`

func assertRefused(t *testing.T, text string, wants ...string) {
	t.Helper()
	_, err := ParseSettings([]byte(text))
	if err == nil {
		t.Fatal("invalid settings were accepted")
	}
	for _, want := range wants {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("the error does not contain %q: %v", want, err)
		}
	}
}

func TestParseSettings(t *testing.T) {
	t.Run("all fields", func(t *testing.T) {
		c, err := ParseSettings([]byte(fullSettings))
		if err != nil || c.DrainTimeout != 30*clock.Second || c.Operators[0].Name != "o" {
			t.Fatalf("%+v %v", c, err)
		}
	})
	t.Run("unknown and missing fields", func(t *testing.T) {
		assertRefused(t, `{"Instance":"a-1","Colour":"red"}`, "$.Colour", "unknown field", "$.Zone is missing", "$.Listen.Callers is missing", "$.Platform.Log.Address is missing")
	})
	t.Run("unknown plug-ins name the known ones", func(t *testing.T) {
		assertRefused(t, strings.Replace(fullSettings, `"Kind":"Http","Address":"127.0.0.1:1"`, `"Kind":"Smoke","Address":"127.0.0.1:1"`, 1), "$.Platform.Log.Kind", "Http")
	})
	t.Run("values out of range", func(t *testing.T) {
		assertRefused(t, strings.Replace(fullSettings, `"Subset":32`, `"Subset":0`, 1), "$.Subset is 0", "from 1 to 10000")
	})
	t.Run("a token hash of the wrong length", func(t *testing.T) {
		assertRefused(t, strings.Replace(fullSettings, `"TokenSha256":"00`, `"TokenSha256":"0`, 1), "TokenSha256", "64 hexadecimal digits")
	})
}

// TestSettingsAreOnThePage checks that docs/OPERATIONS.md lists every setting.
func TestSettingsAreOnThePage(t *testing.T) {
	page, err := os.ReadFile(filepath.Join("..", "..", "docs", "OPERATIONS.md"))
	if err != nil {
		t.Fatal(err)
	}
	var settings map[string]json.RawMessage
	if err := json.Unmarshal([]byte(fullSettings), &settings); err != nil {
		t.Fatal(err)
	}
	for name := range settings {
		if !strings.Contains(string(page), "`"+name) {
			t.Errorf("setting %s is not in docs/OPERATIONS.md", name)
		}
	}
}
