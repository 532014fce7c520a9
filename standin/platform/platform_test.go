package platform_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/cardamompier/cardamompier/hosts"
	"github.com/cardamompier/cardamompier/standin/platform"
)

func TestHostListLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := platform.New([]hosts.Host{{ID: "a"}})
		p.ListLag = time.Second
		p.SetHosts([]hosts.Host{{ID: "b"}})
		time.Sleep(900 * time.Millisecond)
		if got := p.Hosts(); got[0].ID != "a" {
			t.Fatalf("shows %v before the lag has passed", got)
		}
		time.Sleep(100 * time.Millisecond)
		if got := p.Hosts(); got[0].ID != "b" {
			t.Fatalf("shows %v after the lag has passed", got)
		}
	})
}
