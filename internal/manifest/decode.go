package manifest

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/pkg/errors"

	"github.com/goccy/go-yaml"
)

// decoder decodes the syntax tree of a manifest and collects all problems instead of stopping at the first one.
type decoder struct {
	problems []Problem
	// lines maps the path of each field that is present to its line.
	lines map[string]int
}

// report adds a problem at the line of path or of its nearest parent that is present.
func (d *decoder) report(path, format string, args ...any) {
	d.problems = append(d.problems, Problem{Line: d.line(path), Path: path, Message: fmt.Sprintf(format, args...)})
}

// require reports a problem at path unless ok holds. It reports nothing if the field or a part of it already has a
// problem, because the decoded value is then a substitute for what the author wrote.
func (d *decoder) require(ok bool, path, format string, args ...any) {
	if ok || slices.ContainsFunc(d.problems, func(p Problem) bool { return within(p.Path, path) }) {
		return
	}
	d.report(path, format, args...)
}

// within reports whether path is parent or a field or entry below it.
func within(path, parent string) bool {
	rest, ok := strings.CutPrefix(path, parent)
	return ok && (rest == "" || rest[0] == '.' || rest[0] == '[')
}

// line returns the line of path or of its nearest parent that is present, 1 if there is none.
func (d *decoder) line(path string) int {
	for {
		if line, ok := d.lines[path]; ok {
			return line
		}
		cut := strings.LastIndexAny(path, ".[")
		if cut < 0 {
			return 1
		}
		path = path[:cut]
	}
}

// parseDocument returns the body of the only document, or nil after reporting a problem.
func (d *decoder) parseDocument(data []byte) (body ast.Node) {
	// The parser can panic on malformed text. A record in the log must not crash the processes that read it.
	defer func() {
		if r := recover(); r != nil {
			d.report("", "is not YAML: %v", r)
			body = nil
		}
	}()
	if !d.checkLimits(data) {
		return nil
	}
	file, err := parser.ParseBytes(data, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		d.reportSyntax(err)
		return nil
	}
	if len(file.Docs) != 1 || file.Docs[0].Body == nil {
		d.report("", "must hold exactly one YAML document")
		return nil
	}
	return file.Docs[0].Body
}

// checkLimits reports whether the text is within the limits of lines, line length and nesting, and adds a problem if it
// is not. A text beyond them would keep the parser busy for seconds.
func (d *decoder) checkLimits(data []byte) bool {
	line, length, nesting := 1, 0, 0
	for _, c := range data {
		length++
		switch c {
		case '\n', '\r':
			line, length = line+1, 0
		case '[', '{':
			nesting++
		case ']', '}':
			nesting--
		}
		if line > maxLines || length > maxLineLength || nesting > maxNesting {
			d.problems = append(d.problems, Problem{Line: line, Message: fmt.Sprintf(
				"exceeds %d lines, %d bytes in a line or %d open brackets", maxLines, maxLineLength, maxNesting)})
			return false
		}
	}
	return true
}

// reportSyntax reports an error of the YAML parser at its line, if it has one.
func (d *decoder) reportSyntax(err error) {
	var syntax yaml.Error
	if !errors.As(err, &syntax) || syntax.GetToken() == nil {
		d.report("", "is not YAML: %v", err)
		return
	}
	d.problems = append(d.problems, Problem{Line: syntax.GetToken().Position.Line,
		Message: "is not YAML: " + syntax.GetMessage()})
}

// object is a YAML mapping. Fields that have not been taken when close is called are reported as unknown.
type object struct {
	d      *decoder
	path   string
	fields map[string]ast.Node
	order  []string
}

// object reads a mapping. It reports a node of another type and then returns nil.
func (d *decoder) object(n ast.Node, path string) *object {
	o := &object{d: d, path: path, fields: map[string]ast.Node{}}
	var values []*ast.MappingValueNode
	switch n := n.(type) {
	case *ast.MappingNode:
		values = n.Values
	case *ast.MappingValueNode:
		values = []*ast.MappingValueNode{n}
	default:
		d.report(path, "must be a mapping of fields")
		return nil
	}
	for _, v := range values {
		o.add(v)
	}
	return o
}

func (o *object) add(v *ast.MappingValueNode) {
	key := v.Key.GetToken().Value
	path := o.at(key)
	if _, seen := o.fields[key]; seen {
		o.d.problems = append(o.d.problems, Problem{v.Key.GetToken().Position.Line, path, "is given twice"})
		return
	}
	o.d.lines[path] = v.Key.GetToken().Position.Line
	o.fields[key] = v.Value
	o.order = append(o.order, key)
}

// at returns the path of a field.
func (o *object) at(key string) string {
	if o.path == "" {
		return key
	}
	return o.path + "." + key
}

// take removes a field from the object and returns its node, or nil if it is absent or null. A missing field is
// reported if it is required, a null one always.
func (o *object) take(key string, required bool) ast.Node {
	n, ok := o.fields[key]
	delete(o.fields, key)
	if _, null := n.(*ast.NullNode); ok && null {
		o.d.report(o.at(key), "has no value")
		return nil
	}
	if !ok && required {
		o.d.report(o.at(key), "is missing")
	}
	return n
}

// close reports the fields that were not taken.
func (o *object) close() {
	for _, key := range o.order {
		if _, untaken := o.fields[key]; untaken {
			o.d.report(o.at(key), "is not a field of this entry")
		}
	}
}

// scalar takes a scalar field and returns its text as written, without quotes, and whether it is present and a scalar.
func (o *object) scalar(key string, required bool) (string, bool) {
	n := o.take(key, required)
	switch n := n.(type) {
	case nil:
		return "", false
	case *ast.StringNode:
		return n.Value, true
	case *ast.IntegerNode, *ast.FloatNode, *ast.BoolNode:
		return n.GetToken().Value, true
	}
	o.d.report(o.at(key), "must be a single value; anchors, aliases and tags are not allowed")
	return "", false
}

// name reads a required identifier. Its characters are limited because it becomes part of stream names, headers and
// file names.
func (o *object) name(key string) string {
	s, ok := o.scalar(key, true)
	if ok && !validName(s) {
		o.d.report(o.at(key), "must be 1 to %d lower-case letters, digits and hyphens, and begin with a letter, not %q",
			maxNameLength, s)
	}
	return s
}

func validName(s string) bool {
	for _, c := range s {
		if (c < 'a' || c > 'z') && (c < '0' || c > '9') && c != '-' {
			return false
		}
	}
	return len(s) > 0 && len(s) <= maxNameLength && s[0] >= 'a' && s[0] <= 'z'
}

// choice reads one of the allowed values. It returns def if the field is absent; an empty def makes the field required.
func (o *object) choice(key, def string, allowed ...string) string {
	s, ok := o.scalar(key, def == "")
	if !ok {
		return def
	}
	if !slices.Contains(allowed, s) {
		o.d.report(o.at(key), "must be one of %s, not %q", strings.Join(allowed, ", "), s)
	}
	return s
}

// number reads a whole number within b. It returns def if the field is absent; a negative def makes the field required.
func (o *object) number(key string, def int, b bounds) int {
	s, ok := o.scalar(key, def < 0)
	if !ok {
		return max(def, 0)
	}
	v, ok := parseDecimal(s, 0)
	if !ok || !b.contains(v) {
		o.d.report(o.at(key), "must be a whole number from %d to %d, not %q", b.low, b.high, s)
		return 0
	}
	return int(v)
}

// decimal reads a decimal number as an integer multiple of 10^-places, within b. It returns 0 if the field is absent.
func (o *object) decimal(key string, required bool, places int, b bounds) int64 {
	s, ok := o.scalar(key, required)
	if !ok {
		return 0
	}
	v, ok := parseDecimal(s, places)
	if !ok {
		o.d.report(o.at(key), "must be a decimal number with at most %d decimal places, not %q", places, s)
		return 0
	}
	if !b.contains(v) {
		o.d.report(o.at(key), "value %s is out of range", s)
		return 0
	}
	return v
}

// duration reads a duration such as 150ms, 2s or 8h. It returns def if the field is absent; a negative def makes the
// field required.
func (o *object) duration(key string, def time.Duration) time.Duration {
	s, ok := o.scalar(key, def < 0)
	if !ok {
		return max(def, 0)
	}
	v, err := time.ParseDuration(s)
	if err != nil || v <= 0 || v > maxDuration {
		o.d.report(o.at(key), "must be a time such as 150ms, 2s or 8h, above 0 and at most %s, not %q", maxDuration, s)
		return 0
	}
	return v
}

// boolean reads true or false. present reports whether the field was given.
func (o *object) boolean(key string, required bool) (value, present bool) {
	s, ok := o.scalar(key, required)
	if !ok {
		return false, false
	}
	if s != "true" && s != "false" {
		o.d.report(o.at(key), "must be true or false, not %q", s)
	}
	return s == "true", true
}

// child reads a mapping and passes it to f. f is not called if the field is absent.
func (o *object) child(key string, required bool, f func(*object)) {
	if n := o.take(key, required); n != nil {
		o.d.read(n, o.at(key), f)
	}
}

// list reads a sequence of at least one mapping and passes each one to f.
func (o *object) list(key string, f func(*object)) {
	n := o.take(key, true)
	if n == nil {
		return
	}
	sequence, ok := n.(*ast.SequenceNode)
	if !ok || len(sequence.Values) == 0 {
		o.d.report(o.at(key), "must be a list of at least one entry")
		return
	}
	for i, v := range sequence.Values {
		path := o.at(key) + "[" + strconv.Itoa(i) + "]"
		o.d.lines[path] = v.GetToken().Position.Line
		o.d.read(v, path, f)
	}
}

// read passes the mapping n to f and then reports the fields that f did not take.
func (d *decoder) read(n ast.Node, path string, f func(*object)) {
	if o := d.object(n, path); o != nil {
		f(o)
		o.close()
	}
}
