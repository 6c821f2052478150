package configurer_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"mustardlever.dev/mustardlever/configurer"
)

const agentSettings = `{
  // on the VM of the backend server
  "name": "agent-1", "role": "agent", "zone": "muenchen",
  "operator-address": "127.0.0.1:7401",
  "entries": ["127.0.0.1:7101"],
  "backend-servers": [{"service": "bestelltheke", "address": "127.0.0.1:9001"}],
  "configuration": {"base": "base.json"},
}`

func ExampleMerge() {
	base := `{"services": {"desk": {"slots": 8, "connections": 64}, "old": {}}}`
	overlay := `{"site": "brazos", "services": {"desk": {"slots": 4}, "old": null}} // only what differs`
	c, err := configurer.Merge("base.json", []byte(base), "brazos.json", []byte(overlay))
	fmt.Println(c.Site, c.Services["desk"].Slots, c.Services["desk"].Connections, len(c.Services), err)
	// Output: brazos 4 64 1 <nil>
}

func TestMistakesAreLocated(t *testing.T) {
	_, err := configurer.ParseProcess("a.json", []byte(agentSettings))
	require.NoError(t, err)
	for _, tt := range []struct{ text, want string }{
		{"{\n \"zonne\": \"x\"}", `a.json:2:2: unknown key "zonne"; did you mean "zone"?`},
		{"{\"name\": 7}", `a.json:1:10: found 7, expected a string`},
		{"{\"entries\": {}}", `a.json:1:13: found an object, expected an array`},
		{"{\"drain-ms\": 1.5}", `a.json:1:14: found 1.5, expected an integer`},
		{"{\"role\": \"boss\"}", `a.json:1:10: role: found "boss", expected "entry" or "agent"`},
		{"{\"entries\": [\"host:1\"]}", `a.json:1:14: entries/0: found "host:1", expected an IP address and a port`},
		{"{\"name\": \"a\", \"name\": \"b\"}", `a.json:1:15: duplicate key "name"`},
		{"{\"name\": ", `expected JSON with comments`},
	} {
		_, err := configurer.ParseProcess("a.json", []byte(tt.text))
		require.ErrorContains(t, err, tt.want)
	}
}

func TestAllMistakesAreReported(t *testing.T) {
	_, err := configurer.ParseProcess("a.json", []byte("{\"nam\": 1,\n \"zone\": 2,\n \"entries\": 3}"))
	for _, want := range []string{"a.json:1:2", "a.json:2:10", "a.json:3:13"} {
		require.ErrorContains(t, err, want)
	}
}

func FuzzParseProcess(f *testing.F) {
	f.Add([]byte(agentSettings))
	f.Fuzz(func(_ *testing.T, text []byte) {
		configurer.ParseProcess("f.json", text)
		configurer.Merge("f.json", text, "f.json", text)
	})
}
