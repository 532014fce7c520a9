package main

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/cardamompier/cardamompier"
	"github.com/cardamompier/cardamompier/config"
	"github.com/cardamompier/cardamompier/kv"
	"github.com/cardamompier/cardamompier/kv/kvmem"
	"github.com/cardamompier/cardamompier/membership"
)

// nonces and noise match the output that differs between runs; the test replaces it by the
// fixed text that the golden files contain.
var (
	nonces = regexp.MustCompile(`[0-9a-f]{8}-[0-9a-f]{4}-[0-9a-f-]{22}`)
	noise  = strings.NewReplacer("127.0.0.1:", "HOST:")
)

// newPublishedStore returns a store with three published revisions, all by the same writer
// and at the same time.
func newPublishedStore(t *testing.T) *kvmem.Store {
	t.Helper()
	store := kvmem.New()
	at := time.Date(2026, 3, 1, 9, 0, 0, 0, time.UTC)
	publisher := config.Publisher{Store: store, Writer: "grace@kigali", Now: func() time.Time { return at }}
	for _, dir := range []string{"first", "second", "first"} {
		files, faults := config.ReadDir("testdata/" + dir)
		if len(faults) > 0 {
			t.Fatal(faults)
		}
		if _, err := publisher.Publish(context.Background(), config.Change{Files: files}); err != nil {
			t.Fatal(err)
		}
	}
	return store
}

// registerHost starts a server that reports the status of an entry host with a revision in
// force, and adds the entry host to the stored list of seeds.
func registerHost(t *testing.T, store kv.Store, id string, revision uint64) {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(cardamompier.Status{
			Host: id, FailureDomain: "kigali-a", Revision: revision, Ready: revision > 0,
			NotReady: map[bool]string{true: "no configuration was published"}[revision == 0],
		})
	}))
	t.Cleanup(server.Close)
	member := membership.Member{ID: id, FailureDomain: "kigali-a", InnerAddress: server.Listener.Addr().String()}
	addSeed(t, store, member)
}

// addSeed adds an entry host to the list of seeds in the store.
func addSeed(t *testing.T, store kv.Store, member membership.Member) {
	t.Helper()
	seeds, version, err := membership.ReadSeeds(context.Background(), store)
	if err != nil {
		t.Fatal(err)
	}
	value, err := json.Marshal(membership.SeedList{Members: append(seeds, member)})
	if err != nil {
		t.Fatal(err)
	}
	write := kv.Write{Key: membership.SeedKey, Value: value, Expect: version}
	if _, err := store.CompareAndSwap(context.Background(), write); err != nil {
		t.Fatal(err)
	}
}

func TestOutputOfCommands(t *testing.T) {
	tests := map[string]struct {
		run     func(*session) int
		options options
	}{
		"check":              {runCheck, options{first: "testdata/first"}},
		"check_refused":      {runCheck, options{first: "testdata/bad"}},
		"check_file":         {runCheck, options{first: "testdata/platform/good.json"}},
		"check_file_refused": {runCheck, options{first: "testdata/platform/bad.json"}},
		"check_file_against": {runCheck, options{first: "testdata/platform/changed.json", second: "testdata/platform/good.json"}},
		"check_file_no_base": {runCheck, options{first: "testdata/platform/good.json", second: "testdata/platform/none.json"}},
		"publish":            {runPublish, options{first: "testdata/second"}},
		"publish_unchanged":  {runPublish, options{first: "testdata/first"}},
		"publish_removes":    {runPublish, options{first: "testdata/first", remove: []string{"account/school-west"}}},
		"publish_bad_item":   {runPublish, options{first: "testdata/first", remove: []string{"school-west"}}},
		"publish_conflict":   {runPublish, options{first: "testdata/second", base: 2}},
		"publish_no_base":    {runPublish, options{first: "testdata/second", base: 17}},
		"publish_refused":    {runPublish, options{first: "testdata/bad"}},
		"publish_not_in":     {runPublish, options{first: "testdata/second", wait: 300 * time.Millisecond}},
		"publish_in_force":   {runPublish, options{first: "testdata/first", wait: 300 * time.Millisecond}},
		"status":             {runStatus, options{}},
		"diff_files":         {runDiff, options{first: "testdata/second"}},
		"diff_nothing":       {runDiff, options{first: "testdata/first"}},
		"diff_revisions":     {runDiff, options{first: "1", second: "2"}},
		"history":            {runHistory, options{}},
		"rollback":           {runRollback, options{first: "2"}},
		"rollback_no_number": {runRollback, options{first: "two"}},
		"rollback_not_kept":  {runRollback, options{first: "17"}},
		"resolve_lost":       {runResolve, options{first: "2", second: "another"}},
		"resolve_unknown":    {runResolve, options{first: "9", second: "another"}},
	}
	for name, test := range tests {
		for _, asJSON := range []bool{false, true} {
			golden := name
			if asJSON {
				golden += "_json"
			}
			t.Run(golden, func(t *testing.T) {
				store := newPublishedStore(t)
				registerHost(t, store, "n1", 3)
				registerHost(t, store, "n2", 3)
				var out bytes.Buffer
				s := &session{options: test.options, store: store, out: &out, errOut: &out}
				s.json, s.timeout = asJSON, time.Second
				code := test.run(s)
				text := noise.Replace(nonces.ReplaceAllString(out.String(), "NONCE"))
				goldie.New(t).Assert(t, golden, []byte(text+"exit "+strconv.Itoa(code)+"\n"))
			})
		}
	}
}

func TestUnknownPublishOutcomePrintsResolveCommand(t *testing.T) {
	var out bytes.Buffer
	s := &session{out: &out, errOut: &out}
	s.platform = "http://platform"
	code := s.failPublish(&config.PublishError{Reason: config.PublishUnknown, Revision: 7, Nonce: "abc"})
	if code != exitUnknown || !strings.Contains(out.String(), "cardamompier resolve --platform http://platform 7 abc") {
		t.Fatalf("exit %d: %s", code, out.String())
	}
}

func TestStatusShowsUnreachableEntryHost(t *testing.T) {
	store := newPublishedStore(t)
	registerHost(t, store, "n1", 0)
	addSeed(t, store, membership.Member{ID: "n2", InnerAddress: "127.0.0.1:1"})
	var out bytes.Buffer
	s := &session{options: options{timeout: time.Second}, store: store, out: &out, errOut: &out}
	if code := runStatus(s); code != 0 {
		t.Fatalf("exit %d", code)
	}
	for _, want := range []string{"not ready: no configuration was published", "not reached: "} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("output lacks %q: %s", want, out.String())
		}
	}
}

func TestEveryCommandHasAnExample(t *testing.T) {
	for _, c := range commandsOf(&options{}) {
		if !strings.Contains(c.parser.AdditionalHelpAppend, "cardamompier "+c.parser.Name+" ") || c.parser.Description == "" {
			t.Errorf("%s has no description or no example", c.parser.Name)
		}
	}
}
