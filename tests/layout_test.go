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

// Guards against imports that give a decision package access to I/O, processes,
// the transport or the platform. These packages receive messages and times through
// method calls and return messages from TakeDecisions.
func TestDecisionsImportNoTransport(t *testing.T) {
	const module = "mustardlever.dev/mustardlever/"
	for _, folder := range []string{"coordinator", "dispatcher", "starter", "leaser", "sizer", "protocol", "estimator"} {
		files, err := filepath.Glob("../" + folder + "/*.go")
		require.NoError(t, err)
		require.NotEmpty(t, files, folder)
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
