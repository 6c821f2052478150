package tests

import (
	"go/parser"
	"go/token"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Decisions do no I/O, start no process, and know neither the transport nor the
// platform: messages and times come in by calls, messages go out by Drain.
func TestDecisionsImportNoTransport(t *testing.T) {
	const module = "mustardlever.dev/mustardlever/"
	for _, decisions := range []string{"coordinator", "dispatcher", "starter", "leaser", "sizer", "protocol"} {
		files, err := filepath.Glob("../" + decisions + "/*.go")
		require.NoError(t, err)
		require.NotEmpty(t, files, decisions)
		for _, name := range files {
			if strings.HasSuffix(name, "_test.go") {
				continue
			}
			f, err := parser.ParseFile(token.NewFileSet(), name, nil, parser.ImportsOnly)
			require.NoError(t, err)
			for _, i := range f.Imports {
				path, err := strconv.Unquote(i.Path.Value)
				require.NoError(t, err)
				for _, forbidden := range []string{
					"net", "net/http", "os", "context", module + "messenger", module + "server", module + "platform", module + "recorder",
				} {
					require.NotEqual(t, forbidden, path, name)
				}
			}
		}
	}
}
