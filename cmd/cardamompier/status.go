package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"sort"
	"time"

	"github.com/integrii/flaggy"
	"github.com/samber/lo"

	"github.com/cardamompier/cardamompier"
	"github.com/cardamompier/cardamompier/kv"
	"github.com/cardamompier/cardamompier/kv/kvhttp"
	"github.com/cardamompier/cardamompier/membership"
)

const statusTimeout = 2 * time.Second

// hostStatus is an entry host's status, or why it could not be read.
type hostStatus struct {
	cardamompier.Status
	Error string `json:"error,omitempty"`
}

func statusCommand() command {
	parser := flaggy.NewSubcommand("status")
	parser.Description = "Show every entry host. Example: cardamompier status -p http://127.0.0.1:7500"
	return command{parser: parser, run: runStatus}
}

func runStatus(o options) int {
	statuses, err := readStatuses(context.Background(), kvhttp.NewClient(o.platform))
	if err != nil {
		return fail(exitFailed, err)
	}
	if o.json {
		_ = json.NewEncoder(os.Stdout).Encode(statuses)
		return 0
	}
	for _, s := range statuses {
		fmt.Printf("%-20s %-16s revision %-6d ready %-5t leaving %-5t %s\n", s.Host, s.FailureDomain, s.Revision, s.Ready, s.Leaving, s.Error)
	}
	return 0
}

// readStatuses asks every entry host for its status: the seeds, the members
// that they know, and so on.
func readStatuses(ctx context.Context, store kv.Store) ([]hostStatus, error) {
	members, _, err := membership.ReadSeeds(ctx, store)
	if err != nil {
		return nil, err
	}
	asked, known := map[string]bool{}, map[string]bool{}
	all := []hostStatus{}
	for len(members) > 0 {
		m := members[0]
		members = members[1:]
		if asked[m.ID] {
			continue
		}
		asked[m.ID] = true
		s := readStatus(ctx, m)
		all = append(all, s)
		members = append(members, s.Members...)
		for _, other := range s.Members {
			known[other.ID] = true
		}
	}
	// A seed that no member knows has ended since the list was written.
	out := lo.Filter(all, func(s hostStatus, _ int) bool { return len(known) == 0 || known[s.Host] })
	sort.Slice(out, func(i, j int) bool { return out[i].Host < out[j].Host })
	return out, nil
}

func readStatus(ctx context.Context, m membership.Member) hostStatus {
	s := hostStatus{Status: cardamompier.Status{Host: m.ID, FailureDomain: m.FailureDomain}}
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.InnerAddress+cardamompier.PathStatus, nil)
	if err != nil {
		s.Error = err.Error()
		return s
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		s.Error = err.Error()
		return s
	}
	defer func() { _ = res.Body.Close() }()
	if err := json.NewDecoder(res.Body).Decode(&s.Status); err != nil {
		s.Error = err.Error()
	}
	return s
}
