package load

import (
	"bytes"
	"io"
	"os"
	"path/filepath"

	"github.com/pkg/errors"

	"clementinewalk.example/clementinewalk/internal/capacity"
)

// CapacityReport holds the flags of the command that prints the tables of a capacity run. With Page it also writes them
// into that file.
type CapacityReport struct {
	Dir  string `arg:"" type:"existingdir" help:"Directory with the samples of a run (*.jsonl)."`
	Page string `type:"existingfile" help:"Page whose text between the marker comments is replaced."`
}

// The generated tables stand between these marker comments of the page.
const (
	beginMarker = "<!-- measured:begin -->"
	endMarker   = "<!-- measured:end -->"
)

// MarkerError reports a page without the marker comments.
type MarkerError struct{ Path string }

// Error implements error.
func (e *MarkerError) Error() string {
	return "page " + e.Path + " lacks the markers " + beginMarker + " and " + endMarker + ", in this order"
}

// Run prints the tables. It returns a *FileError, a *capacity.DecodeError or a *MarkerError.
func (c *CapacityReport) Run(w io.Writer) error {
	samples, err := c.readSamples()
	if err != nil {
		return err
	}
	var tables bytes.Buffer
	if err := capacity.Markdown(&tables, samples); err != nil {
		return err
	}
	if _, err := w.Write(tables.Bytes()); err != nil {
		return errors.WithStack(err)
	}
	if c.Page == "" {
		return nil
	}
	return c.replaceTables(tables.Bytes())
}

// readSamples returns the samples of all *.jsonl files of the directory.
func (c *CapacityReport) readSamples() ([]capacity.Sample, error) {
	paths, err := filepath.Glob(filepath.Join(c.Dir, "*.jsonl"))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	var out []capacity.Sample
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			return nil, &FileError{Path: path, Err: err}
		}
		samples, err := capacity.Decode(bytes.NewReader(data))
		if err != nil {
			return nil, &FileError{Path: path, Err: err}
		}
		out = append(out, samples...)
	}
	return out, nil
}

// replaceTables replaces the text between the markers of the page. It returns a *MarkerError if a marker is missing.
func (c *CapacityReport) replaceTables(tables []byte) error {
	page, err := os.ReadFile(c.Page)
	if err != nil {
		return &FileError{Path: c.Page, Err: err}
	}
	before, rest, hasBegin := bytes.Cut(page, []byte(beginMarker))
	_, after, hasEnd := bytes.Cut(rest, []byte(endMarker))
	if !hasBegin || !hasEnd {
		return &MarkerError{Path: c.Page}
	}
	out := bytes.Join([][]byte{before, []byte(beginMarker), []byte("\n"), tables, []byte("\n"), []byte(endMarker),
		after}, nil)
	if err := os.WriteFile(c.Page, out, fileMode); err != nil {
		return &FileError{Path: c.Page, Err: err}
	}
	return nil
}
