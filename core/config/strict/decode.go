package strict

import (
	"bytes"
	"encoding"
	"fmt"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

const (
	// MaxBytes is the largest file that Decode reads, in bytes.
	MaxBytes = 16 << 20
	// maxDepth is the deepest nesting of arrays and objects. The parser is
	// recursive, so a file of opening brackets would exhaust the stack.
	maxDepth = 64
)

// Decode reads JSON with comments into the struct that into points to. Fields
// are those with a json tag; a field is required unless its tag has omitempty.
// The returned Collector holds the problems found and accepts those of later
// checks. Values that cannot be decoded remain unchanged.
func Decode(name string, data []byte, into any) *Collector {
	c := &Collector{file: name, lines: map[string]int{}}
	if len(data) > MaxBytes {
		c.fail("", "split or shorten the file", "the file has %d bytes, the limit is %d", len(data), MaxBytes)
		return c
	}
	if line := depthExceededAt(data); line > 0 {
		c.lines[""] = line
		c.fail("", "remove the nested brackets", "values are nested more than %d deep", maxDepth)
		return c
	}
	tree, err := hujson.Parse(data)
	if err != nil {
		line, message := syntaxError(err)
		c.lines[""] = line
		c.fail("", "correct the JSON syntax at this line", "%s", message)
		return c
	}
	d := &decoder{Collector: c, data: data}
	if tree.Value.Kind() != '{' {
		d.recordLine("", tree)
		c.fail("", "start the file with { and end it with }", "the file holds %s, not an object", kindName(tree))
		return c
	}
	d.value("", tree, reflect.ValueOf(into).Elem())
	return c
}

// depthExceededAt returns the line at which the nesting exceeds maxDepth, or 0.
func depthExceededAt(data []byte) int {
	depth := 0
	for i := 0; i < len(data); i++ {
		switch data[i] {
		case '"':
			for i++; i < len(data) && data[i] != '"'; i++ {
				if data[i] == '\\' {
					i++
				}
			}
		case '/':
			i = skipComment(data, i)
		case '[', '{':
			depth++
			if depth > maxDepth {
				return 1 + bytes.Count(data[:i], []byte("\n"))
			}
		case ']', '}':
			depth--
		}
	}
	return 0
}

// skipComment returns the offset of the last byte of the comment at i, or i
// when there is none.
func skipComment(data []byte, i int) int {
	end := ""
	switch rest := data[i:]; {
	case bytes.HasPrefix(rest, []byte("//")):
		end = "\n"
	case bytes.HasPrefix(rest, []byte("/*")):
		end = "*/"
	default:
		return i
	}
	n := bytes.Index(data[i+2:], []byte(end))
	if n < 0 {
		return len(data)
	}
	return i + 2 + n + len(end) - 1
}

var syntaxPosition = regexp.MustCompile(`^hujson: line (\d+), column \d+: `)

func syntaxError(err error) (line int, message string) {
	message = err.Error()
	if m := syntaxPosition.FindStringSubmatch(message); m != nil {
		line, _ = strconv.Atoi(m[1])
		message = message[len(m[0]):]
	}
	return line, message
}

type decoder struct {
	*Collector
	data      []byte
	countedTo int // offset up to which lines have been counted
	newlines  int // newlines before countedTo
}

// recordLine records the line of a value. Values are visited in file order, so
// each byte is scanned once.
func (d *decoder) recordLine(path string, v hujson.Value) {
	if v.StartOffset >= d.countedTo {
		d.newlines += bytes.Count(d.data[d.countedTo:v.StartOffset], []byte("\n"))
		d.countedTo = v.StartOffset
	}
	d.lines[path] = d.newlines + 1
}

func (d *decoder) value(path string, v hujson.Value, into reflect.Value) {
	d.recordLine(path, v)
	if into.CanAddr() {
		if u, ok := into.Addr().Interface().(encoding.TextUnmarshaler); ok {
			d.text(path, v, u)
			return
		}
	}
	switch into.Kind() {
	case reflect.Struct:
		d.object(path, v, into)
	case reflect.Slice:
		d.array(path, v, into)
	default:
		d.literal(path, v, into)
	}
}

func (d *decoder) text(path string, v hujson.Value, into encoding.TextUnmarshaler) {
	_, duration := into.(*Duration)
	literal, ok := v.Value.(hujson.Literal)
	if !ok || literal.Kind() != '"' {
		if duration {
			d.fail(path, `write a string with a unit, such as "250ms"`, "%s has no unit", kindName(v))
			return
		}
		d.fail(path, "write a string", "the value is %s, not a string", kindName(v))
		return
	}
	if err := into.UnmarshalText([]byte(literal.String())); err != nil {
		remedy := "write the value in the form that the documentation of the field shows"
		if duration {
			remedy = `write a number with a unit, such as "250ms"`
		}
		d.fail(path, remedy, "%s", err)
	}
}

func (d *decoder) object(path string, v hujson.Value, into reflect.Value) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		d.fail(path, "write an object: { ... }", "the value is %s, not an object", kindName(v))
		return
	}
	fields, names := structFields(into.Type())
	seen := map[string]bool{}
	for _, member := range object.Members {
		name := member.Name.Value.(hujson.Literal).String()
		field := fieldPath(path, name)
		f, known := fields[name]
		switch {
		case !known:
			d.recordLine(field, member.Name)
			d.add(field, "remove it or use one of "+strings.Join(names, ", "), "there is no field %q here", name)
		case seen[name]:
			first := d.lines[field]
			d.recordLine(field, member.Name)
			d.add(field, "keep one of the two", "the field is given twice, first at line %d", first)
		default:
			d.value(field, member.Value, into.Field(f.index))
		}
		seen[name] = true
	}
	for _, name := range names {
		if !seen[name] && !fields[name].optional {
			d.fail(fieldPath(path, name), "add the field "+strconv.Quote(name), "the field is missing")
		}
	}
}

func (d *decoder) array(path string, v hujson.Value, into reflect.Value) {
	array, ok := v.Value.(*hujson.Array)
	if !ok {
		d.fail(path, "write a list: [ ... ]", "the value is %s, not a list", kindName(v))
		return
	}
	into.Set(reflect.MakeSlice(into.Type(), len(array.Elements), len(array.Elements)))
	for i, element := range array.Elements {
		d.value(fmt.Sprintf("%s[%d]", path, i), element, into.Index(i))
	}
}

func (d *decoder) literal(path string, v hujson.Value, into reflect.Value) {
	literal, ok := v.Value.(hujson.Literal)
	kind := hujson.Kind(0)
	if ok {
		kind = literal.Kind()
	}
	text := string(literal)
	switch into.Kind() {
	case reflect.String:
		if kind != '"' {
			d.fail(path, "write a string in quotes", "the value is %s, not a string", kindName(v))
			return
		}
		into.SetString(literal.String())
	case reflect.Bool:
		if kind != 't' && kind != 'f' {
			d.fail(path, "write true or false", "the value is %s, not true or false", kindName(v))
			return
		}
		into.SetBool(kind == 't')
	case reflect.Int, reflect.Int64:
		n, err := strconv.ParseInt(text, 10, into.Type().Bits())
		if kind != '0' || err != nil {
			d.fail(path, "write a whole number without quotes or unit", "%s is not a whole number in range", shorten(v))
			return
		}
		into.SetInt(n)
	case reflect.Uint64:
		n, err := strconv.ParseUint(text, 10, 64)
		if kind != '0' || err != nil {
			d.fail(path, "write a whole number from 0 without quotes or unit", "%s is not a whole number in range", shorten(v))
			return
		}
		into.SetUint(n)
	case reflect.Float64:
		n, err := strconv.ParseFloat(text, 64)
		if kind != '0' || err != nil {
			d.fail(path, "write a number without quotes or unit", "%s is not a number in range", shorten(v))
			return
		}
		into.SetFloat(n)
	default:
		panic("strict: type " + into.Type().String() + " cannot be decoded; use a supported kind in the struct")
	}
}

type fieldInfo struct {
	index    int
	optional bool
}

func structFields(t reflect.Type) (fields map[string]fieldInfo, names []string) {
	fields = map[string]fieldInfo{}
	for i := range t.NumField() {
		tag := t.Field(i).Tag.Get("json")
		parts := strings.Split(tag, ",")
		if tag == "" || tag == "-" {
			continue
		}
		fields[parts[0]] = fieldInfo{index: i, optional: slices.Contains(parts[1:], "omitempty")}
		names = append(names, parts[0])
	}
	return fields, names
}

func fieldPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func kindName(v hujson.Value) string {
	switch v.Value.Kind() {
	case '{':
		return "an object"
	case '[':
		return "a list"
	case '"':
		return "a string"
	case '0':
		return "a number"
	case 'n':
		return "null"
	default:
		return "true or false"
	}
}

// shorten returns a value for messages, truncated to 60 bytes.
func shorten(v hujson.Value) string {
	literal, ok := v.Value.(hujson.Literal)
	if !ok {
		return kindName(v)
	}
	if len(literal) > 60 {
		return string(literal[:60]) + "..."
	}
	return string(literal)
}
