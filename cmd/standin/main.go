// Command standin runs small stand-ins for external systems: the platform, model engines,
// order desks and a leader. It is for tests and demonstrations only.
package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/integrii/flaggy"

	"github.com/cardamompier/cardamompier/hosts"
	"github.com/cardamompier/cardamompier/standin/desk"
	"github.com/cardamompier/cardamompier/standin/enginesim"
	"github.com/cardamompier/cardamompier/standin/platform"
)

const (
	exitFailed    = 1
	exitUsage     = 2
	exitCrashed   = 3               // the engine received a prompt with the crash mark
	headerTimeout = 5 * time.Second // for reading a request's headers
)

func main() {
	listen, hostFile, marketFile, listLag := "", "", "", time.Duration(0)
	engine := enginesim.Options{ID: "engine", TokenTime: 5 * time.Millisecond}
	flaggy.SetName("standin")
	flaggy.SetDescription("Stand-ins for outside systems, for tests.")
	flaggy.String(&listen, "l", "listen", "IP number and port")
	platformCommand := flaggy.NewSubcommand("platform")
	platformFlags(platformCommand, &hostFile, &marketFile, &listLag)
	engineCommand := flaggy.NewSubcommand("engine")
	engineFlags(engineCommand, &engine)
	deskOptions := desk.Options{}
	deskCommand := flaggy.NewSubcommand("desk")
	deskFlags(deskCommand, &deskOptions)
	leaderOptions := &leader{}
	leaderCommand := flaggy.NewSubcommand("leader")
	leaderOptions.flags(leaderCommand)
	demonstration := demoOptions{dir: "examples", port: 7500}
	demoCommand := flaggy.NewSubcommand("demo")
	demoFlags(demoCommand, &demonstration)
	for _, c := range []*flaggy.Subcommand{platformCommand, engineCommand, deskCommand, leaderCommand, demoCommand} {
		flaggy.AttachSubcommand(c, 1)
	}
	flaggy.Parse()
	switch {
	case platformCommand.Used:
		serve(listen, newPlatform(hostFile, marketFile, listLag).Handler())
	case engineCommand.Used:
		engine.Salt = enginesim.SaltOf(engine.ID)
		engine.Crash = func() { os.Exit(exitCrashed) }
		serve(listen, enginesim.New(engine).Handler())
	case deskCommand.Used:
		serve(listen, (&desk.Desk{Options: deskOptions}).Handler())
	case leaderCommand.Used:
		leaderOptions.run(listen)
	case demoCommand.Used:
		if err := runDemo(demonstration); err != nil {
			fail(err)
		}
	default:
		flaggy.ShowHelp("a command is needed")
		os.Exit(exitUsage)
	}
}

// platformFlags defines the flags of the platform subcommand.
func platformFlags(c *flaggy.Subcommand, hostFile, marketFile *string, listLag *time.Duration) {
	c.String(hostFile, "", "hosts", "JSON file with the host list")
	c.Duration(listLag, "", "list-lag", "how long a change of the host list stays unseen")
	c.String(marketFile, "", "market", "JSON file with the cloud's prices and the weight store")
}

// deskFlags defines the flags of the desk subcommand.
func deskFlags(c *flaggy.Subcommand, o *desk.Options) {
	c.Int(&o.DropAfterRun, "", "drop-after-run", "first orders that run and get no answer")
	c.Duration(&o.Delay, "", "delay", "time that an order takes after it was counted")
	c.Bool(&o.Refuse, "", "refuse", "take no orders")
}

// engineFlags defines the flags of the engine subcommand.
func engineFlags(c *flaggy.Subcommand, o *enginesim.Options) {
	c.String(&o.ID, "", "id", "the engine's name")
	c.Duration(&o.TokenTime, "", "token-time", "time of one step")
	c.Duration(&o.StreamTime, "", "stream-time", "time added to a step for each further stream")
	c.Duration(&o.PrefillTime, "", "prefill-time", "time to compute one token of a prompt or prior text")
	c.Int(&o.MaxRunning, "", "max-running", "most streams in a step; 0 for no bound")
	c.Int(&o.CacheBlocks, "", "cache-blocks", "size of the prefix cache")
	c.Bool(&o.NoExport, "", "no-export", "neither export nor import KV caches")
	c.Duration(&o.EventLag, "", "event-lag", "age at which cache events are shown")
	c.UInt64(&o.EventLoss, "", "event-loss", "lose each n-th cache event")
	c.Duration(&o.ReportLag, "", "report-lag", "age of load reports")
	c.Bool(&o.IgnoreFence, "", "ignore-fence", "take orders with old fencing numbers")
	c.String(&o.CrashMark, "", "crash-mark", "text in a prompt that ends the process")
}

// newPlatform returns a platform with the hosts and the market of two JSON files. An empty
// name means no file.
func newPlatform(hostFile, marketFile string, listLag time.Duration) *platform.Platform {
	var list []hosts.Host
	readJSON(hostFile, &list)
	p := platform.New(list)
	p.ListLag = listLag
	if marketFile != "" {
		var market platform.Market
		readJSON(marketFile, &market)
		p.SetMarket(market)
	}
	return p
}

// readJSON decodes a JSON file into out and exits on an error. If path is empty, it
// does nothing.
func readJSON(path string, out any) {
	if path == "" {
		return
	}
	data, err := os.ReadFile(path)
	if err != nil {
		fail(err)
	}
	if err := json.Unmarshal(data, out); err != nil {
		fail(err)
	}
}

// serve serves handler on the address listen until an error ends the process.
func serve(listen string, handler http.Handler) {
	server := &http.Server{Addr: listen, Handler: handler, ReadHeaderTimeout: headerTimeout}
	fail(server.ListenAndServe())
}

// fail prints an error and exits with status 1.
func fail(err error) {
	fmt.Fprintln(os.Stderr, "standin:", err)
	os.Exit(exitFailed)
}
