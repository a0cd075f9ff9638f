package configcheck

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

const (
	// MaxBytes bounds the text of a configuration, as that of a manifest.
	MaxBytes = 512 << 10
	// maxNesting bounds the nesting of values; configurations have 4 levels.
	maxNesting = 32
	// maxFindings bounds the findings of a text.
	maxFindings = 100
)

// Document is a JSON text with the position of each value.
type Document struct {
	text []byte
	// fields holds the paths in the order of the text, with the offset of the end of the key, or of the first token of a list
	// entry.
	fields  []string
	offsets map[string]int64
	// values holds the values that are neither objects nor lists, by path.
	values map[string]string
	// ends maps the offset of the end of each value to its path, and that of the end of its first token.
	ends     map[int64]string
	findings []Finding
}

// nestingError reports a text with too many levels.
type nestingError struct{}

// Error implements error.
func (nestingError) Error() string { return fmt.Sprintf("has more than %d levels", maxNesting) }

// trailingTextError reports a text that goes on after its first value.
type trailingTextError struct{}

// Error implements error.
func (trailingTextError) Error() string { return "has text after the first value" }

// ParseDocument reads a JSON text, and reports syntax errors and fields that are given twice. ok is false if the text cannot
// be read to its end.
func ParseDocument(text []byte) (d *Document, ok bool) {
	d = &Document{text: text, offsets: map[string]int64{}, values: map[string]string{}, ends: map[int64]string{}}
	if len(text) > MaxBytes {
		d.report(Error, RuleSyntax, "", "has %d bytes; at most %d are allowed", len(text), MaxBytes)
		return d, false
	}
	dec := json.NewDecoder(bytes.NewReader(text))
	dec.UseNumber()
	err := d.value(dec, "", 0)
	if err == nil {
		if _, next := dec.Token(); next == nil {
			err = trailingTextError{}
		}
	}
	if err == nil {
		return d, true
	}
	offset := dec.InputOffset()
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		offset = syntax.Offset
	}
	// Of a text that cannot be read, other findings say little.
	d.findings = []Finding{{Severity: Error, Rule: RuleSyntax, Line: d.lineOf(offset), Message: "is not JSON: " + err.Error()}}
	return d, false
}

// value reads the value at a path.
func (d *Document) value(dec *json.Decoder, path string, level int) error {
	if level > maxNesting {
		return nestingError{}
	}
	token, err := dec.Token()
	if err != nil {
		return errors.WithStack(err)
	}
	if _, known := d.offsets[path]; !known {
		d.note(path, dec.InputOffset())
	}
	d.ends[dec.InputOffset()] = path
	switch token {
	case json.Delim('{'):
		err = d.object(dec, path, level)
	case json.Delim('['):
		for i := 0; err == nil && dec.More(); i++ {
			err = d.value(dec, path+"["+strconv.Itoa(i)+"]", level+1)
		}
	default:
		d.values[path] = format(token)
		return nil
	}
	if err == nil {
		_, err = dec.Token()
	}
	d.ends[dec.InputOffset()] = path
	return errors.WithStack(err)
}

// format returns a value that is neither an object nor a list. It is never empty.
func format(token json.Token) string {
	switch token {
	case nil:
		return "null"
	case "":
		return `""`
	}
	return fmt.Sprint(token)
}

func (d *Document) object(dec *json.Decoder, path string, level int) error {
	seen := map[string]struct{}{}
	for dec.More() {
		token, err := dec.Token()
		if err != nil {
			return errors.WithStack(err)
		}
		key := fmt.Sprint(token)
		at := join(path, key)
		d.note(at, dec.InputOffset())
		// The decoder of the instances takes names that differ in the case of letters for the same.
		if _, again := seen[strings.ToLower(key)]; again {
			d.report(Error, RuleRepeated, at, "is given twice; only the last one counts")
		}
		seen[strings.ToLower(key)] = struct{}{}
		if err := d.value(dec, at, level+1); err != nil {
			return err
		}
	}
	return nil
}

func (d *Document) note(path string, offset int64) {
	if _, known := d.offsets[path]; !known {
		d.fields = append(d.fields, path)
	}
	d.offsets[path] = offset
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

func (d *Document) lineOf(offset int64) int {
	return 1 + bytes.Count(d.text[:min(max(0, offset), int64(len(d.text)))], []byte{'\n'})
}

// line returns the line of a path or of its nearest parent that is present, 1 if there is none.
func (d *Document) line(path string) int {
	for {
		if offset, ok := d.offsets[path]; ok && path != "" {
			return d.lineOf(offset)
		}
		cut := strings.LastIndexAny(path, ".[")
		if cut < 0 {
			return 1
		}
		path = path[:cut]
	}
}

func (d *Document) report(s Severity, r Rule, path, format string, args ...any) {
	if len(d.findings) >= maxFindings {
		return
	}
	d.findings = append(d.findings, Finding{Severity: s, Rule: r, Line: d.line(path), Path: path, Message: fmt.Sprintf(format, args...)})
}

// reportType reports a value that could not be decoded. Such an error names the offset of the end of a value, or of the beginning
// of an object or list.
func (d *Document) reportType(err error) {
	var wrong *json.UnmarshalTypeError
	if !errors.As(err, &wrong) {
		d.report(Error, RuleType, "", "%v", err)
		return
	}
	d.report(Error, RuleType, d.ends[wrong.Offset], "must be of type %s, not %s", wrong.Type, wrong.Value)
}

// reportUnknown reports the fields that no instance reads. known maps their paths, in lower case and without indexes.
func (d *Document) reportUnknown(known map[string]struct{}) {
	for _, path := range d.fields {
		parent := path[:max(0, strings.LastIndexByte(path, '.'))]
		_, parentKnown := known[pattern(parent)]
		if _, ok := known[pattern(path)]; !ok && (parent == "" || parentKnown) && path != "" {
			d.report(Warning, RuleUnknown, path, "is not read by this version")
		}
	}
}

// pattern returns a path in lower case and without indexes.
func pattern(path string) string {
	var b strings.Builder
	inside := false
	for _, r := range strings.ToLower(path) {
		switch {
		case r == '[':
			inside = true
		case r == ']':
			inside = false
		case !inside:
			b.WriteRune(r)
		}
	}
	return b.String()
}

// Diff returns the values that differ between two documents, sorted by path. name is the field that identifies the entries of
// lists.
func Diff(old, new *Document, name string) []Change {
	before, after := old.named(name), new.named(name)
	var out []Change
	for path, v := range before {
		if w, ok := after[path]; !ok || w != v {
			out = append(out, Change{Path: path, Old: v, New: w})
		}
	}
	for path, v := range after {
		if _, ok := before[path]; !ok {
			out = append(out, Change{Path: path, New: v})
		}
	}
	slices.SortFunc(out, func(a, b Change) int { return cmp.Compare(a.Path, b.Path) })
	return out
}

// named returns the values by path, with the names of list entries instead of their indexes where these are unique.
func (d *Document) named(name string) map[string]string {
	uses := map[string]int{}
	for path := range d.values {
		if list, _, ok := cutEntry(path); ok && path == list.entry+"."+name {
			uses[list.path+"["+d.values[path]+"]"]++
		}
	}
	out := map[string]string{}
	for path, v := range d.values {
		if list, rest, ok := cutEntry(path); ok {
			if n, present := d.values[list.entry+"."+name]; present && uses[list.path+"["+n+"]"] == 1 {
				path = list.path + "[" + n + "]" + rest
			}
		}
		out[path] = v
	}
	return out
}

// listEntry is an entry of the outermost list on a path.
type listEntry struct{ path, entry string }

// cutEntry splits a path after the entry of the outermost list on it.
func cutEntry(path string) (listEntry, string, bool) {
	list, rest, ok := strings.Cut(path, "[")
	index, rest, closed := strings.Cut(rest, "]")
	return listEntry{path: list, entry: list + "[" + index + "]"}, rest, ok && closed
}
