package main

import (
	"context"
	"slices"
	"time"

	"github.com/cardamompier/cardamompier/config"
)

func historyCommand() command {
	return newCommand("history", "Show the latest revisions, who published them and when.",
		"cardamompier history --platform http://127.0.0.1:7500", runHistory)
}

func runHistory(s *session) int {
	ctx, cancel := context.WithTimeout(context.Background(), s.timeout)
	defer cancel()
	doc, _, err := config.Read(ctx, s.store)
	if err != nil {
		return s.fail(exitFailed, err)
	}
	marks := slices.Clone(doc.Recent)
	slices.Reverse(marks)
	if s.json {
		s.print(append([]config.RevisionMark{}, marks...))
		return 0
	}
	s.printf("%8s  %-20s  %-24s  %s\n", "REVISION", "PUBLISHED", "BY", "NONCE")
	for _, mark := range marks {
		s.printf("%8d  %-20s  %-24s  %s\n", mark.Revision, mark.PublishedAt.Format(time.RFC3339), mark.Writer, mark.Nonce)
	}
	return 0
}
