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

var pageTemplate = template.Must(
	template.New("cost").Funcs(template.FuncMap{"money": manifest.FormatMoney}).Parse(pageText))

// The layout of the chart in pixels. Labels begin at x = 0, bars at barX.
const (
	maxBarWidth = 420
	barHeight   = 22
	barPadding  = 4
	barX        = 300
)

// bar is one bar of the chart. Lengths and coordinates are in pixels.
type bar struct {
	Label  string
	Class  string
	Amount int64
	Y      int
	TextY  int
	Width  int64
	EndX   int64
}

// chart is the bar chart of the page. X and Bar are the left edge and the height of each bar.
type chart struct {
	Bars   []bar
	Width  int
	Height int
	X      int
	Bar    int
}

// chart returns one bar for each row; the bar of the largest cost has the maximum width.
func (r *costReport) chart() chart {
	c := chart{Width: barX + maxBarWidth + 140, Height: len(r.Rows)*barHeight + 2*barPadding, X: barX,
		Bar: barHeight - 2*barPadding}
	var largest int64 = 1
	for _, row := range r.Rows {
		largest = max(largest, row.Cost)
	}
	for i, row := range r.Rows {
		// The product of cost and width can overflow an int64.
		width := int64(float64(row.Cost) / float64(largest) * maxBarWidth)
		y := i*barHeight + barPadding
		c.Bars = append(c.Bars, bar{Label: row.Team + " / " + row.Kind + " / " + row.Outcome, Class: row.Outcome,
			Amount: row.Cost, Y: y, TextY: y + barHeight - 2*barPadding - 2, Width: max(width, 1),
			EndX: barX + max(width, 1) + 6})
	}
	return c
}

// page returns the report as an HTML page that refers to no other files.
func (r *costReport) page() ([]byte, error) {
	var b bytes.Buffer
	err := pageTemplate.Execute(&b, struct {
		*costReport
		Chart chart
	}{r, r.chart()})
	return b.Bytes(), errors.WithStack(err)
}
