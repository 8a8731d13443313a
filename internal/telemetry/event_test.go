package telemetry_test

import (
	"bytes"
	"encoding/json"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/primrosetally/primrosetally/internal/telemetry"
)

const root = "../.."

// sources are the packages' files other than tests and generated code.
func sources(t *testing.T) (*token.FileSet, map[string]*ast.File) {
	t.Helper()
	set := token.NewFileSet()
	files := map[string]*ast.File{}
	for _, dir := range []string{"cmd", "internal", "pkg"} {
		err := filepath.WalkDir(filepath.Join(root, dir), func(path string, _ fs.DirEntry, err error) error {
			generated := strings.HasSuffix(path, ".pb.go") || strings.HasSuffix(path, ".connect.go")
			if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") || generated {
				return err
			}
			file, err := parser.ParseFile(set, path, nil, 0)
			files[path] = file
			return err
		})
		require.NoError(t, err)
	}
	return set, files
}

func TestPageListsTheCatalogue(t *testing.T) {
	page, err := os.ReadFile(filepath.Join(root, "docs", "EVENTS.md"))
	require.NoError(t, err)
	var table bytes.Buffer
	require.NoError(t, telemetry.WriteCatalogue(&table))
	rows := 0
	for line := range strings.Lines(string(page)) {
		if strings.HasPrefix(line, "| ") {
			rows++
		}
	}
	require.Contains(t, string(page), table.String(), "the page should have this table:\n%s", table.String())
	require.Equal(t, len(telemetry.Catalogue())+1, rows, "rows that are not in the catalogue")
}

func TestCatalogueIsComplete(t *testing.T) {
	_, files := sources(t)
	declared := map[string]bool{}
	ast.Inspect(files[filepath.Join(root, "internal", "telemetry", "catalogue.go")], func(n ast.Node) bool {
		if v, ok := n.(*ast.ValueSpec); ok && ast.IsExported(v.Names[0].Name) {
			declared[v.Names[0].Name] = true
		}
		return true
	})
	numbers, names := map[int]bool{}, map[string]bool{}
	for _, e := range telemetry.Catalogue() {
		require.False(t, numbers[e.Number()], "number %d twice", e.Number())
		require.False(t, names[e.Name()], "name %s twice", e.Name())
		numbers[e.Number()], names[e.Name()] = true, true
		require.True(t, declared[strings.ToUpper(e.Name()[:1])+e.Name()[1:]], "%s is not the variable's name", e.Name())
		require.NotEmpty(t, e.Doc())
	}
	require.Len(t, names, len(declared))
}

// Every event of the catalogue is logged somewhere.
func TestEveryEventIsUsed(t *testing.T) {
	_, files := sources(t)
	used := map[string]bool{}
	for _, file := range files {
		ast.Inspect(file, func(n ast.Node) bool {
			f, ok := n.(*ast.SelectorExpr)
			if !ok || f.Sel.Name != "Log" {
				return true
			}
			if event, ok := f.X.(*ast.SelectorExpr); ok {
				used[event.Sel.Name] = true
			}
			return true
		})
	}
	for _, e := range telemetry.Catalogue() {
		require.True(t, used[strings.ToUpper(e.Name()[:1])+e.Name()[1:]], "%s is never logged", e.Name())
	}
}

// Every log line is an event of the catalogue: no package logs by itself.
func TestNothingIsLoggedWithoutNumber(t *testing.T) {
	methods := map[string]bool{}
	for _, name := range []string{"Debug", "Info", "Warn", "Error"} {
		methods[name] = true
		methods[name+"Context"] = true
	}
	set, files := sources(t)
	for _, file := range files {
		ast.Inspect(file, func(n ast.Node) bool {
			call, ok := n.(*ast.CallExpr)
			if !ok {
				return true
			}
			f, ok := call.Fun.(*ast.SelectorExpr)
			if ok && methods[f.Sel.Name] && isLogger(f.X) {
				t.Errorf("%s logs without an event", set.Position(n.Pos()))
			}
			return true
		})
	}
}

// isLogger reports whether the expression names a logger: slog, log, x.logger
// or x.Logger().
func isLogger(x ast.Expr) bool {
	switch v := x.(type) {
	case *ast.Ident:
		return v.Name == "slog" || v.Name == "log" || strings.EqualFold(v.Name, "logger")
	case *ast.SelectorExpr:
		return strings.EqualFold(v.Sel.Name, "logger") || v.Sel.Name == "log"
	case *ast.CallExpr:
		f, ok := v.Fun.(*ast.SelectorExpr)
		return ok && (strings.EqualFold(f.Sel.Name, "logger") || (f.Sel.Name == "With" && isLogger(f.X)))
	}
	return false
}

func TestLog(t *testing.T) {
	var out bytes.Buffer
	logger := slog.New(slog.NewJSONHandler(&out, &slog.HandlerOptions{Level: slog.LevelInfo}))
	telemetry.PushFailed.Log(t.Context(), logger, "peer", "entry-2")
	require.Empty(t, out.String())
	telemetry.OrderRefused.Log(t.Context(), logger, "instance", "writer-1")
	var line map[string]any
	require.NoError(t, json.Unmarshal(out.Bytes(), &line))
	delete(line, "time")
	require.Equal(t, map[string]any{
		"level": "INFO", "msg": "orderRefused", "eventId": 502.0, "instance": "writer-1",
	}, line)
}
