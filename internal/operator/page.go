package operator

import (
	"bytes"
	_ "embed"
	"html/template"

	"github.com/pkg/errors"

	"clementinewalk.example/clementinewalk/internal/manifest"
)

//go:embed cost.html
var pageText string

var pageTemplate = template.Must(template.New("cost").Funcs(template.FuncMap{"money": manifest.FormatMoney}).Parse(pageText))

const (
	barWidth  = 420
	barHeight = 22
	barTop    = 4
	labelX    = 300
)

// bar is one bar of the chart; lengths are in pixels.
type bar struct {
	Label  string
	Class  string
	Amount int64
	Y      int
	TextY  int
	Width  int64
	EndX   int64
}

type chart struct {
	Bars   []bar
	Width  int
	Height int
	X      int
	Bar    int
}

// chart draws one bar for each row, the largest one at full width.
func (r *costReport) chart() chart {
	c := chart{Width: labelX + barWidth + 140, Height: len(r.Rows)*barHeight + 2*barTop, X: labelX, Bar: barHeight - 2*barTop}
	var largest int64 = 1
	for _, row := range r.Rows {
		largest = max(largest, row.Cost)
	}
	for i, row := range r.Rows {
		// The quotient comes first when the product would overflow.
		width := int64(float64(row.Cost) / float64(largest) * barWidth)
		y := i*barHeight + barTop
		c.Bars = append(c.Bars, bar{Label: row.Team + " / " + row.Kind + " / " + row.Outcome, Class: row.Outcome,
			Amount: row.Cost, Y: y, TextY: y + barHeight - 2*barTop - 2, Width: max(width, 1), EndX: labelX + max(width, 1) + 6})
	}
	return c
}

// page returns the report as a page without references to other files.
func (r *costReport) page() ([]byte, error) {
	var b bytes.Buffer
	err := pageTemplate.Execute(&b, struct {
		*costReport
		Chart chart
	}{r, r.chart()})
	return b.Bytes(), errors.WithStack(err)
}
