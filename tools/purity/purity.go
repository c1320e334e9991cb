// Package purity checks that decision libraries take time, randomness and
// messages as values: they start no goroutine, read no clock, open no socket,
// and use no global random source.
package purity

import (
	"go/ast"
	"strconv"
	"strings"

	"golang.org/x/tools/go/analysis"
)

// Analyzer reports impure code outside test files.
var Analyzer = &analysis.Analyzer{
	Name: "purity",
	Doc:  "reports goroutines, channels, clocks, sockets, files and global randomness in decision libraries",
	Run:  run,
}

// forbiddenImports maps each package that a decision library must not import to
// what to do instead.
var forbiddenImports = map[string]string{
	"net":         "pass messages as values and return actions",
	"net/http":    "pass messages as values and return actions",
	"os":          "pass the data as a value",
	"syscall":     "pass the data as a value",
	"sync":        "keep one owner per state machine and lock outside",
	"sync/atomic": "keep one owner per state machine and lock outside",
	"log":         "return an action or an error",
	"math/rand":   "take a *rand.Rand of math/rand/v2 as a parameter",
	"crypto/rand": "take a *rand.Rand of math/rand/v2 as a parameter",
}

// forbiddenCalls are functions that read a clock or a global random source.
var forbiddenCalls = map[string]map[string]bool{
	"time": {
		"Now": true, "Since": true, "Until": true, "Sleep": true, "After": true, "AfterFunc": true,
		"Tick": true, "NewTimer": true, "NewTicker": true,
	},
	"math/rand/v2": {
		"Int": true, "IntN": true, "Int64": true, "Int64N": true, "Uint64": true, "Uint64N": true, "Uint32": true,
		"Float64": true, "Float32": true, "NormFloat64": true, "ExpFloat64": true, "Perm": true, "Shuffle": true, "N": true,
	},
}

func run(pass *analysis.Pass) (any, error) {
	// The generated main package of a test binary imports os.
	if strings.HasSuffix(pass.Pkg.Path(), ".test") {
		return nil, nil
	}
	for _, file := range pass.Files {
		if strings.HasSuffix(pass.Fset.Position(file.Pos()).Filename, "_test.go") {
			continue
		}
		checkFile(pass, file)
	}
	return nil, nil
}

func checkFile(pass *analysis.Pass, file *ast.File) {
	names := map[string]string{}
	for _, spec := range file.Imports {
		path, err := strconv.Unquote(spec.Path.Value)
		if err != nil {
			continue
		}
		if remedy, ok := forbiddenImports[path]; ok {
			pass.Reportf(spec.Pos(), "import of %s in a decision library: %s", path, remedy)
		}
		names[localName(spec, path)] = path
	}
	ast.Inspect(file, func(node ast.Node) bool {
		switch n := node.(type) {
		case *ast.GoStmt:
			pass.Reportf(n.Pos(), "goroutine in a decision library: return an action instead")
		case *ast.ChanType:
			pass.Reportf(n.Pos(), "channel in a decision library: return an action instead")
		case *ast.SelectorExpr:
			checkSelector(pass, n, names)
		}
		return true
	})
}

func localName(spec *ast.ImportSpec, path string) string {
	switch {
	case spec.Name != nil:
		return spec.Name.Name
	case path == "math/rand/v2":
		return "rand"
	default:
		return path[strings.LastIndex(path, "/")+1:]
	}
}

func checkSelector(pass *analysis.Pass, sel *ast.SelectorExpr, names map[string]string) {
	ident, ok := sel.X.(*ast.Ident)
	if !ok {
		return
	}
	path := names[ident.Name]
	if forbiddenCalls[path][sel.Sel.Name] {
		pass.Reportf(sel.Pos(), "use of %s.%s in a decision library: take the value as a parameter", path, sel.Sel.Name)
	}
}
