package capacity

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"math"
	"strconv"
)

// eval computes a formula as it stands on the page, so that the formula shown
// is the one used. It knows + - * /, parentheses, sqrt, log, ceil, min and max.
func eval(formula string, env map[string]float64) (float64, error) {
	tree, err := parser.ParseExpr(formula)
	if err != nil {
		return 0, fmt.Errorf("formula %q: %w", formula, err)
	}
	v, err := value(tree, env)
	if err != nil {
		return 0, fmt.Errorf("formula %q: %w", formula, err)
	}
	return v, nil
}

func value(node ast.Expr, env map[string]float64) (float64, error) {
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
		return value(n.X, env)
	case *ast.BinaryExpr:
		x, err := value(n.X, env)
		if err != nil {
			return 0, err
		}
		y, err := value(n.Y, env)
		if err != nil {
			return 0, err
		}
		return binary(n.Op, x, y)
	case *ast.CallExpr:
		return call(n, env)
	default:
		return 0, fmt.Errorf("%T is not part of a formula", node)
	}
}

func binary(op token.Token, x, y float64) (float64, error) {
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

func call(n *ast.CallExpr, env map[string]float64) (float64, error) {
	name, ok := n.Fun.(*ast.Ident)
	if !ok {
		return 0, fmt.Errorf("%T is not a function", n.Fun)
	}
	args := make([]float64, len(n.Args))
	for i, arg := range n.Args {
		v, err := value(arg, env)
		if err != nil {
			return 0, err
		}
		args[i] = v
	}
	one := map[string]func(float64) float64{"sqrt": math.Sqrt, "log": math.Log, "ceil": math.Ceil}
	two := map[string]func(x, y float64) float64{"min": math.Min, "max": math.Max}
	if f, ok := one[name.Name]; ok && len(args) == 1 {
		return f(args[0]), nil
	}
	if f, ok := two[name.Name]; ok && len(args) == 2 {
		return f(args[0], args[1]), nil
	}
	return 0, fmt.Errorf("%s with %d arguments is not a function of formulas", name.Name, len(args))
}
