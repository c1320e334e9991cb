// Command purity runs the purity analyzer on the packages named.
package main

import (
	"golang.org/x/tools/go/analysis/singlechecker"

	"dandelionhill.dev/tools/purity"
)

func main() { singlechecker.Main(purity.Analyzer) }
