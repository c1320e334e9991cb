package capacity

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"math"
	"strconv"
)

// eval evaluates a formula as the page shows it, so that the formula shown is the
// one used. It supports + - * /, parentheses, sqrt, log, ceil, min and max.
func eval(formula string, env map[string]float64) (float64, error) {
	tree, err := parser.ParseExpr(formula)
	if err != nil {
		return 0, fmt.Errorf("formula %q: %w", formula, err)
	}
	v, err := evalNode(tree, env)
	if err != nil {
		return 0, fmt.Errorf("formula %q: %w", formula, err)
	}
	return v, nil
}

func evalNode(node ast.Expr, env map[string]float64) (float64, error) {
	switch n := node.(type) {
	case *ast.BasicLit:
		return strconv.ParseFloat(n.Value, 64)
	case *ast.Ident:
		v, ok := env[n.Name]
		if !ok {
			return 0, fmt.Errorf("%s has no value", n.Name)
		}
		return v, nil
	case *ast.ParenExpr:
		return evalNode(n.X, env)
	case *ast.BinaryExpr:
		x, err := evalNode(n.X, env)
		if err != nil {
			return 0, err
		}
		y, err := evalNode(n.Y, env)
		if err != nil {
			return 0, err
		}
		return evalBinary(n.Op, x, y)
	case *ast.CallExpr:
		return evalCall(n, env)
	default:
		return 0, fmt.Errorf("%T is not part of a formula", node)
	}
}

func evalBinary(op token.Token, x, y float64) (float64, error) {
	switch op {
	case token.ADD:
		return x + y, nil
	case token.SUB:
		return x - y, nil
	case token.MUL:
		return x * y, nil
	case token.QUO:
		return x / y, nil
	default:
		return 0, fmt.Errorf("operator %s is not part of a formula", op)
	}
}

func evalCall(n *ast.CallExpr, env map[string]float64) (float64, error) {
	name, ok := n.Fun.(*ast.Ident)
	if !ok {
		return 0, fmt.Errorf("%T is not a function", n.Fun)
	}
	args := make([]float64, len(n.Args))
	for i, arg := range n.Args {
		v, err := evalNode(arg, env)
		if err != nil {
			return 0, err
		}
		args[i] = v
	}
	unaryFuncs := map[string]func(float64) float64{"sqrt": math.Sqrt, "log": math.Log, "ceil": math.Ceil}
	binaryFuncs := map[string]func(x, y float64) float64{"min": math.Min, "max": math.Max}
	if f, ok := unaryFuncs[name.Name]; ok && len(args) == 1 {
		return f(args[0]), nil
	}
	if f, ok := binaryFuncs[name.Name]; ok && len(args) == 2 {
		return f(args[0], args[1]), nil
	}
	return 0, fmt.Errorf("%s with %d arguments is not a function of formulas", name.Name, len(args))
}
