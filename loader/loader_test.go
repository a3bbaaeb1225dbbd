package loader

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const good = `{
  // an entry instance
  "name": "a1", "zone": "a", "dataFolder": "data",
  "listen": {"callers": "127.0.0.1:1", "endpoints": "127.0.0.1:2", "operators": "127.0.0.1:3", "peers": "127.0.0.1:4"},
  "peers": [{"name": "a1", "zone": "a", "address": "127.0.0.1:4", "voter": true}],
  "tokens": {"endpoints": "t", "operators": "t", "peers": "t"},
}`

func TestParse(t *testing.T) {
	tests := map[string]struct {
		old, fresh string
		faults     []string // parts of each line
	}{
		"good":                   {},
		"unknown key":            {old: `"zone": "a", "data`, fresh: `"zone": "a", "zune": 1, "data`, faults: []string{"settings:3: zune: no such key"}},
		"several faults at once": {old: `"127.0.0.1:1", "endpoints": "127.0.0.1:2"`, fresh: `"localhost:1", "endpoints": 5`, faults: []string{"settings:4: listen.callers", "settings:4: listen.endpoints"}},
		"missing":                {old: `"name": "a1", "zone"`, fresh: `"zone"`, faults: []string{"name: must be given"}},
		"twice":                  {old: `"name": "a1",`, fresh: `"name": "a1", "name": "a2",`, faults: []string{"settings:3: name: stands twice"}},
		"not itself":             {old: `"name": "a1", "zone": "a", "dat`, fresh: `"name": "a9", "zone": "a", "dat`, faults: []string{`must name this instance, "a9"`}},
		"two voters":             {old: `"voter": true}`, fresh: `"voter": true}, {"name": "b1", "zone": "b", "address": "127.0.0.1:5", "voter": true}`, faults: []string{"must have 1, 3 or 5 voters, has 2"}},
		"voter without disk":     {old: `"data"`, fresh: `""`, faults: []string{"dataFolder: must be given"}},
		"no JSON":                {old: `{`, fresh: ``, faults: []string{"(whole file)"}},
		"duration out of range":  {old: `"tokens"`, fresh: `"timing": {"stop": "99h"}, "tokens"`, faults: []string{`"99h" must be a duration, "0s" to "1h0m0s"`}},
		"number with its unit":   {old: `"tokens"`, fresh: `"limits": {"body": 0.5}, "tokens"`, faults: []string{"whole number of bytes"}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			s, err := Parse("settings", []byte(strings.Replace(good, tc.old, tc.fresh, 1)))
			if len(tc.faults) == 0 {
				must.NoError(t, err)
				must.Eq(t, 30*time.Second, s.Timing.DefaultWait)
				must.True(t, s.IsVoter())
				return
			}
			must.ErrorIs(t, err, ErrSettings)
			var faults Faults
			must.True(t, errors.As(err, &faults))
			must.Len(t, len(tc.faults), faults)
			for i, want := range tc.faults {
				must.StrContains(t, faults[i].String(), want)
			}
		})
	}
}

func TestDefaultsParse(t *testing.T) {
	text := Defaults()
	for _, k := range Keys() {
		_, name, nested := strings.Cut(k.Path, ".")
		if !nested {
			name = k.Path
		}
		must.StrContains(t, text, `"`+name+`"`)
	}
	_, err := Parse("defaults", []byte(text)) // only what must be given is missing
	var faults Faults
	must.True(t, errors.As(err, &faults))
	for _, f := range faults {
		must.StrContains(t, f.What, "must be given")
	}
}

func TestParseDeclarations(t *testing.T) {
	tests := map[string]struct {
		text string
		want string // part of the error
	}{
		"good":         {text: `{"pools": [{"name": "p", "size": 1}], /* more */ }`},
		"unknown key":  {text: `{"pools": [{"nome": "p"}]}`, want: "nome"},
		"bad duration": {text: `{"customers": [{"name": "c", "budget": {"downtime": "soon"}}]}`, want: `customers.c: read budget: budget.downtime: "soon"`},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := ParseDeclarations("fleet", []byte(tc.text))
			if tc.want == "" {
				must.NoError(t, err)
				return
			}
			must.ErrorContains(t, err, tc.want)
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(good))
	f.Add([]byte(`{"peers": [{}], "listen": []}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		_, err := Parse("fuzz", data)
		if err != nil && !errors.Is(err, ErrSettings) {
			t.Fatal(err)
		}
	})
}
