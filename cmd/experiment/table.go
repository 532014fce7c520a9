package main

import (
	"encoding/csv"
	"fmt"
	"io"
	"os"
	"strconv"
	"text/tabwriter"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

const (
	exitFailed = 1
	barWidth   = 12 // points
	plotWidth  = 28 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
)

// table collects rows of text. Hidden rows appear only in the CSV file, not in the printed
// table.
type table struct {
	head        []string
	rows, every [][]string
}

func newTable(head ...string) *table { return &table{head: head} }

func (t *table) add(row ...string) {
	t.rows = append(t.rows, row)
	t.every = append(t.every, row)
}

func (t *table) addHidden(row ...string) { t.every = append(t.every, row) }

func (t *table) print(w io.Writer) {
	out := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, row := range append([][]string{t.head}, t.rows...) {
		for _, cell := range row {
			_, _ = fmt.Fprint(out, cell, "\t")
		}
		_, _ = fmt.Fprintln(out)
	}
	_ = out.Flush()
}

// write saves the table as CSV and as a plot and returns an exit code. An empty file name
// skips that file.
func (t *table) write(csvFile, svgFile string) int {
	if csvFile != "" {
		if err := t.saveCSV(csvFile); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return exitFailed
		}
	}
	if svgFile != "" {
		if err := t.savePlot(svgFile); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return exitFailed
		}
	}
	return 0
}

func (t *table) saveCSV(file string) error {
	f, err := os.Create(file)
	if err != nil {
		return err
	}
	w := csv.NewWriter(f)
	err = w.WriteAll(append([][]string{t.head}, t.every...))
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	return err
}

// savePlot draws a bar chart of the 99th-percentile latencies of whole answers, with two
// bars for each printed row.
func (t *table) savePlot(file string) error {
	p := plot.New()
	p.Title.Text = "Short work: 99th percentile, ms"
	var labels []string
	for at, name := range []string{"whole p99", "whole p99 2 slow"} {
		column := t.column(name)
		values := make(plotter.Values, 0, len(t.rows))
		labels = labels[:0]
		for _, row := range t.rows {
			value, _ := strconv.ParseFloat(row[column], 64)
			values = append(values, value)
			labels = append(labels, row[0][:1]+" "+row[1])
		}
		bars, err := plotter.NewBarChart(values, vg.Points(barWidth))
		if err != nil {
			return err
		}
		bars.Offset = vg.Points(float64(at) * barWidth)
		bars.Color = []plotColor{{70, 110, 160}, {200, 110, 60}}[at]
		p.Add(bars)
		p.Legend.Add(name, bars)
	}
	p.NominalX(labels...)
	p.X.Tick.Label.Rotation = 0.9
	return p.Save(plotWidth, plotHeight, file)
}

func (t *table) column(name string) int {
	for i, head := range t.head {
		if head == name {
			return i
		}
	}
	return 0
}

// plotColor is an opaque RGB color.
type plotColor struct{ r, g, b uint8 }

// RGBA implements color.Color with an opaque alpha value.
func (c plotColor) RGBA() (r, g, b, a uint32) {
	const wide = 0x101
	return uint32(c.r) * wide, uint32(c.g) * wide, uint32(c.b) * wide, 0xffff
}

func millis(h *hdrhistogram.Histogram, percentile float64) string {
	return fmt.Sprintf("%.0f", float64(h.ValueAtPercentile(percentile))/1000)
}

func ratio(a, b *hdrhistogram.Histogram) string {
	return fmt.Sprintf("%.2f", float64(a.ValueAtPercentile(99))/float64(max(b.ValueAtPercentile(99), 1)))
}
