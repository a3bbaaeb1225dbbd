package loader

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const validSettings = `{
  // an entry instance
  "name": "a1", "zone": "a", "dataFolder": "data",
  "listen": {"callers": "127.0.0.1:1", "endpoints": "127.0.0.1:2", "operators": "127.0.0.1:3", "peers": "127.0.0.1:4"},
  "peers": [{"name": "a1", "zone": "a", "address": "127.0.0.1:4", "voter": true}],
  "tokens": {"endpoints": "t", "operators": "t", "peers": "t"},
}`

func TestParse(t *testing.T) {
	tests := map[string]struct {
		old, replacement string
		problems         []string // a substring of each reported problem, in order; empty if the settings are valid
	}{
		"valid":                              {},
		"unknown key":                        {old: `"zone": "a", "data`, replacement: `"zone": "a", "zune": 1, "data`, problems: []string{"settings:3: zune: no such key"}},
		"several problems":                   {old: `"127.0.0.1:1", "endpoints": "127.0.0.1:2"`, replacement: `"localhost:1", "endpoints": 5`, problems: []string{"settings:4: listen.callers", "settings:4: listen.endpoints"}},
		"missing key":                        {old: `"name": "a1", "zone"`, replacement: `"zone"`, problems: []string{"name: must be given"}},
		"duplicate key":                      {old: `"name": "a1",`, replacement: `"name": "a1", "name": "a2",`, problems: []string{"settings:3: name: is duplicated"}},
		"instance not among peers":           {old: `"name": "a1", "zone": "a", "dat`, replacement: `"name": "a9", "zone": "a", "dat`, problems: []string{`must include this instance, "a9"`}},
		"two voters":                         {old: `"voter": true}`, replacement: `"voter": true}, {"name": "b1", "zone": "b", "address": "127.0.0.1:5", "voter": true}`, problems: []string{"must have 1, 3 or 5 voters, has 2"}},
		"voter without data folder":          {old: `"data"`, replacement: `""`, problems: []string{"dataFolder: must be given"}},
		"not JSON":                           {old: `{`, replacement: ``, problems: []string{"(whole file)"}},
		"duration out of range":              {old: `"tokens"`, replacement: `"timing": {"stop": "99h"}, "tokens"`, problems: []string{`"99h" must be a duration, "0s" to "1h0m0s"`}},
		"fraction instead of a whole number": {old: `"tokens"`, replacement: `"limits": {"body": 0.5}, "tokens"`, problems: []string{"whole number of bytes"}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			s, err := Parse("settings", []byte(strings.Replace(validSettings, tc.old, tc.replacement, 1)))
			if len(tc.problems) == 0 {
				must.NoError(t, err)
				must.Eq(t, 30*time.Second, s.Timing.DefaultWait)
				must.True(t, s.IsVoter())
				return
			}
			must.ErrorIs(t, err, ErrSettings)
			var problems Problems
			must.True(t, errors.As(err, &problems))
			must.Len(t, len(tc.problems), problems)
			for i, want := range tc.problems {
				must.StrContains(t, problems[i].String(), want)
			}
		})
	}
}

// TestDefaultsParse checks that the printed defaults contain every key, and that Parse reports no
// problem with them except that the required keys, which have no default, must be given.
func TestDefaultsParse(t *testing.T) {
	text := Defaults()
	for _, k := range Keys() {
		_, name, nested := strings.Cut(k.Path, ".")
		if !nested {
			name = k.Path
		}
		must.StrContains(t, text, `"`+name+`"`)
	}
	_, err := Parse("defaults", []byte(text)) // fails because the required keys are empty
	var problems Problems
	must.True(t, errors.As(err, &problems))
	for _, problem := range problems {
		must.StrContains(t, problem.Message, "must be given")
	}
}

func TestParseDeclarations(t *testing.T) {
	tests := map[string]struct {
		text string
		want string // substring of the error; empty if the declarations are valid
	}{
		"valid":        {text: `{"pools": [{"name": "p", "size": 1}], /* more */ }`},
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

// FuzzParse checks that Parse returns no error other than ErrSettings.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Add([]byte(`{"peers": [{}], "listen": []}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		_, err := Parse("fuzz", data)
		if err != nil && !errors.Is(err, ErrSettings) {
			t.Fatal(err)
		}
	})
}
