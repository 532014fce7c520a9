package scenario

import (
	"encoding/json"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/cardamompier/cardamompier/hosts"
	"github.com/cardamompier/cardamompier/settings"
)

// eventuallyTimeout bounds the wait of the eventually command.
const eventuallyTimeout = 20 * time.Second

// platform: starts the platform's stand-in; its URL is $PLATFORM.
func cmdPlatform(ts *testscript.TestScript, _ bool, args []string) {
	w := worldOf(ts)
	address := freeAddress(ts)
	p := w.start(ts, "platform", "standin", append([]string{"-l", address, "platform"}, args...)...)
	awaitListening(ts, p, address)
	w.platform = "http://" + address
	ts.Setenv("PLATFORM", w.platform)
}

// engine NAME DOMAIN POOL [FLAG...]: starts a model engine and lists its host.
func cmdEngine(ts *testscript.TestScript, _ bool, args []string) {
	startUpstream(ts, "engine", args, "--id", args[0])
}

// desk NAME DOMAIN POOL [FLAG...]: starts an order desk and lists its host.
func cmdDesk(ts *testscript.TestScript, _ bool, args []string) {
	startUpstream(ts, "desk", args)
}

func startUpstream(ts *testscript.TestScript, kind string, args []string, flags ...string) {
	w := worldOf(ts)
	name, domain, pool := args[0], args[1], args[2]
	address := freeAddress(ts)
	flags = append([]string{"-l", address, kind}, append(flags, args[3:]...)...)
	p := w.start(ts, name, "standin", flags...)
	p.address = address
	w.domainOf[name] = domain
	awaitListening(ts, p, address)
	ts.Setenv(strings.ToUpper(name), address)
	w.addHost(ts, hosts.Host{ID: name, Address: address, FailureDomain: domain, Pool: pool, State: hosts.StateLive})
}

// entry NAME DOMAIN [FLAG...]: starts an entry host; $NAME and $NAME_INNER are its addresses.
func cmdEntry(ts *testscript.TestScript, _ bool, args []string) {
	startEntry(ts, args[0], args[1], args[2:], func(*settings.Settings) {})
}

// startEntry starts an entry host with settings that the caller may change.
func startEntry(ts *testscript.TestScript, name, domain string, flags []string, change func(*settings.Settings)) {
	w := worldOf(ts)
	s := settings.Settings{
		HostID: name, FailureDomain: domain, Listen: freeAddress(ts), InnerListen: freeAddress(ts),
		Platform: settings.Platform{KeyValue: w.platform, HostList: w.platform}, LogLevel: "debug",
	}
	change(&s)
	data, err := json.Marshal(s.WithDefaults())
	ts.Check(err)
	file := filepath.Join(w.dir, name+".settings.json")
	ts.Check(os.WriteFile(file, data, 0o600))
	p := w.start(ts, name, "cardamompierd", append([]string{"-s", file}, flags...)...)
	p.address, p.inner = s.Listen, s.InnerListen
	w.domainOf[name] = s.FailureDomain
	awaitListening(ts, p, p.address)
	awaitJoined(p)
	ts.Setenv(strings.ToUpper(name), p.address)
	ts.Setenv(strings.ToUpper(name)+"_INNER", p.inner)
}

// signal NAME KILL|TERM|STOP|CONT.
func cmdSignal(ts *testscript.TestScript, _ bool, args []string) {
	signals := map[string]syscall.Signal{
		"KILL": syscall.SIGKILL, "TERM": syscall.SIGTERM, "STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT,
	}
	ts.Check(worldOf(ts).process(ts, args[0]).command.Process.Signal(signals[args[1]]))
}

// exited NAME: waits until the process has exited.
func cmdWait(ts *testscript.TestScript, _ bool, args []string) {
	select {
	case <-worldOf(ts).process(ts, args[0]).exited:
	case <-time.After(eventuallyTimeout):
		ts.Fatalf("%s did not exit", args[0])
	}
}

// faults JSON: sets the failure that the key-value service shows.
func cmdFaults(ts *testscript.TestScript, _ bool, args []string) {
	worldOf(ts).postPlatform(ts, "/standin/faults", []byte(args[0]))
}

// hoststate NAME live|leaving|gone: changes a host in the platform's list.
func cmdHostState(ts *testscript.TestScript, _ bool, args []string) {
	w := worldOf(ts)
	var kept []hosts.Host
	for _, h := range w.hosts {
		if h.ID == args[0] {
			h.State = hosts.State(args[1])
		}
		if h.State != "gone" {
			kept = append(kept, h)
		}
	}
	w.hosts = kept
	w.sendHosts(ts)
}

// chat NAME KEY SERVICE PROMPT: asks for a whole answer and prints its text.
// With "!" the request must be refused; its body is printed.
func cmdChat(ts *testscript.TestScript, neg bool, args []string) {
	body, err := json.Marshal(map[string]any{
		"model": args[2], "messages": []map[string]string{{"role": "user", "content": args[3]}},
	})
	ts.Check(err)
	p := worldOf(ts).process(ts, args[0])
	send(ts, neg, http.MethodPost, "http://"+p.address+"/v1/chat/completions", args[1], "", string(body))
}

// order NAME KEY SERVICE IDEMPOTENCY-KEY BODY: places an order and prints the answer.
func cmdOrder(ts *testscript.TestScript, neg bool, args []string) {
	p := worldOf(ts).process(ts, args[0])
	send(ts, neg, http.MethodPost, "http://"+p.address+"/services/"+args[2]+"/orders", args[1], args[3], args[4])
}

// get URL [KEY]: prints the body of a GET.
func cmdGet(ts *testscript.TestScript, neg bool, args []string) {
	key := ""
	if len(args) > 1 {
		key = args[1]
	}
	send(ts, neg, http.MethodGet, args[0], key, "", "")
}

func send(ts *testscript.TestScript, neg bool, method, url, key, idempotencyKey, body string) {
	status, text, err := request(method, url, key, idempotencyKey, body)
	ts.Check(err)
	_, _ = io.WriteString(ts.Stdout(), text+"\n")
	if (status != http.StatusOK) != neg {
		ts.Fatalf("status %d: %s", status, text)
	}
}

// keysCreated is the time of every idempotency key of a run.
var keysCreated = time.Now().UTC().Format(time.RFC3339)

func request(method, url, key, idempotencyKey, body string) (int, string, error) {
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("Content-Type", "application/json")
	if idempotencyKey != "" {
		req.Header.Set("Idempotency-Key", idempotencyKey)
		req.Header.Set("Idempotency-Key-Created", keysCreated)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = res.Body.Close() }()
	text, err := io.ReadAll(res.Body)
	return res.StatusCode, string(text), err
}

// eventually URL TEXT: repeats a GET until its body holds TEXT; with "!" until it does not.
func cmdEventually(ts *testscript.TestScript, neg bool, args []string) {
	awaitTrue(ts, eventuallyTimeout, args[0]+" to show "+args[1], func() bool {
		_, text, err := request(http.MethodGet, args[0], "", "", "")
		return err == nil && strings.Contains(text, args[1]) != neg
	})
}

// joined: waits until every running entry host knows every other.
func cmdJoined(ts *testscript.TestScript, _ bool, _ []string) {
	w := worldOf(ts)
	for name, p := range w.processes {
		if p.inner == "" {
			continue
		}
		awaitTrue(ts, eventuallyTimeout, name+" knows the others", func() bool {
			_, text, err := request(http.MethodGet, "http://"+p.inner+"/status", "", "", "")
			return err == nil && w.namesAll(text)
		})
	}
}

// namesAll says whether a status lists every running entry host as a member.
func (w *world) namesAll(status string) bool {
	for name, p := range w.processes {
		select {
		case <-p.exited:
			continue
		default:
		}
		if p.inner != "" && !strings.Contains(status, `"id":"`+name+`"`) {
			return false
		}
	}
	return true
}
