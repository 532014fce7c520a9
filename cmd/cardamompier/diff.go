package main

import (
	"context"
	"encoding/json"
	"strconv"

	"github.com/cardamompier/cardamompier/config"
)

func diffCommand(o *options) command {
	c := newCommand("diff", "Show what a directory of files would change, or how two revisions differ.",
		"cardamompier diff --platform http://127.0.0.1:7500 services/\n    cardamompier diff --platform http://127.0.0.1:7500 4 7", runDiff)
	c.parser.AddPositionalValue(&o.first, "dir", 1, true, "the directory, or the older revision")
	c.parser.AddPositionalValue(&o.second, "revision", 2, false, "the newer revision")
	c.parser.StringSlice(&o.remove, "r", "remove", "item that a publish would remove; may be repeated")
	return c
}

func runDiff(s *session) int {
	ctx, cancel := context.WithTimeout(context.Background(), s.timeout)
	defer cancel()
	diff := s.diffFiles
	if s.second != "" {
		diff = s.diffRevisions
	}
	differences, code := diff(ctx)
	if code != 0 {
		return code
	}
	if s.json {
		s.print(append([]config.Difference{}, differences...))
		return 0
	}
	if len(differences) == 0 {
		s.printf("no difference\n")
	}
	for _, d := range differences {
		s.printDifference(d)
	}
	return 0
}

func (s *session) diffRevisions(ctx context.Context) ([]config.Difference, int) {
	var docs [2]config.Document
	for i, text := range []string{s.first, s.second} {
		revision, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return nil, s.fail(exitUsage, &usageError{Argument: "revision " + text, Expected: "a number"})
		}
		if docs[i], err = config.ReadRevision(ctx, s.store, revision); err != nil {
			return nil, s.failPublish(err)
		}
	}
	return config.Diff(docs[0], docs[1]), 0
}

func (s *session) diffFiles(ctx context.Context) ([]config.Difference, int) {
	files, code := s.readFiles(s.first)
	if code != 0 {
		return nil, code
	}
	change := config.Change{Files: files}
	for _, text := range s.remove {
		item, err := config.ParseItem(text)
		if err != nil {
			return nil, s.fail(exitUsage, err)
		}
		change.Remove = append(change.Remove, item)
	}
	doc, _, err := config.Read(ctx, s.store)
	if err != nil {
		return nil, s.fail(exitFailed, err)
	}
	return config.Preview(doc, change), 0
}

// printDifference prints the name of an item, its old content with "-" and its new content
// with "+", each as JSON on one line.
func (s *session) printDifference(d config.Difference) {
	s.printf("%s\n", d.Item)
	if d.Old != nil {
		s.printf("- %s\n", compactJSON(d.Old))
	}
	if d.New != nil {
		s.printf("+ %s\n", compactJSON(d.New))
	}
}

func compactJSON(value any) string {
	text, _ := json.Marshal(value)
	return string(text)
}
