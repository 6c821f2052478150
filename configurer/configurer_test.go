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

// Guards against limits that apply in one mode only, and against two of which one is
// ignored.
func TestLimitsOfProcess(t *testing.T) {
	const platformSettings = `{"name": "agent-1", "role": "agent", "zone": "z", "operator-address": "127.0.0.1:7401", "entries": [], %s
		"platform": {"store-address": "127.0.0.1:7900", "reports-address": "127.0.0.1:7402", "service": "s" %s}}`
	for _, tt := range []struct {
		text                string
		memory, descriptors int
	}{
		{agentSettings, 184, 4100},
		{`{"memory-mb": 96, "max-descriptors": 500, ` + agentSettings[1:], 96, 500},
		{fmt.Sprintf(platformSettings, "", ""), 184, 4100},
		{fmt.Sprintf(platformSettings, "", `, "memory-mb": 96, "max-descriptors": 500`), 96, 500},
		{fmt.Sprintf(platformSettings, `"memory-mb": 96, "max-descriptors": 500, `, ""), 96, 500},
	} {
		p, err := configurer.ParseProcess("a.json", []byte(tt.text))
		require.NoError(t, err)
		require.Equal(t, [2]int{tt.memory, tt.descriptors}, [2]int{p.MemoryMiB, p.MaxDescriptors})
	}
	_, err := configurer.ParseProcess("a.json", fmt.Appendf(nil, platformSettings, `"memory-mb": 96, `, `, "memory-mb": 97`))
	require.ErrorContains(t, err, "platform/memory-mb: memory-mb is set twice")
	_, err = configurer.ParseProcess("a.json", []byte(`{"max-descriptors": -1, `+agentSettings[1:]))
	require.ErrorContains(t, err, "max-descriptors: found -1")
}
