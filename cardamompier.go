// Package cardamompier implements an embeddable entry host, which answers model and
// application requests of client accounts and sends the work to upstreams.
//
// New and NewForwardServer validate the settings and open the listeners. Run serves
// until its context ends, then drains the requests in progress and closes everything.
// The components are separate packages that other programs can embed.
package cardamompier

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/samber/do/v2"

	"github.com/cardamompier/cardamompier/callerconn"
	"github.com/cardamompier/cardamompier/config"
	"github.com/cardamompier/cardamompier/events"
	"github.com/cardamompier/cardamompier/gateway"
	"github.com/cardamompier/cardamompier/hosts"
	"github.com/cardamompier/cardamompier/inner"
	"github.com/cardamompier/cardamompier/membership"
	"github.com/cardamompier/cardamompier/order"
	"github.com/cardamompier/cardamompier/provision"
	"github.com/cardamompier/cardamompier/quota"
	"github.com/cardamompier/cardamompier/settings"
)

// leaveNoticeSpan is how long a leaving host still accepts requests after it has announced
// its departure, so that callers with a cached address notice it.
const leaveNoticeSpan = 200 * time.Millisecond

// ListenError reports an address on which no listener could be opened.
type ListenError struct {
	Address string
	Cause   error
}

// Error returns the address and the cause, to implement error.
func (e *ListenError) Error() string { return "listen on " + e.Address + ": " + e.Cause.Error() }

// Unwrap returns the cause of the failed listen call.
func (e *ListenError) Unwrap() error { return e.Cause }

// Server is an entry host that serves model and application requests. Create it with New.
type Server struct {
	settings settings.Settings
	logger   hclog.Logger
	injector *do.RootScope

	gateway  *gateway.Gateway
	follower *config.Follower
	poller   *hosts.Poller
	registry *membership.Registry

	callers, inner                *http.Server
	callerListener, innerListener net.Listener
	background, registryDone      sync.WaitGroup
	stop                          context.CancelFunc
	guard                         *callerconn.Guard
}

// New creates a server and opens its listeners. Its error is a *settings.Error or a
// *ListenError.
func New(s settings.Settings, logger hclog.Logger) (*Server, error) {
	s = s.WithDefaults()
	if err := s.Validate("given"); err != nil {
		return nil, err
	}
	injector := provide(s, logger)
	srv := &Server{
		settings: s, logger: logger, injector: injector,
		gateway:  do.MustInvoke[*gateway.Gateway](injector),
		follower: do.MustInvoke[*config.Follower](injector),
		poller:   do.MustInvoke[*hosts.Poller](injector),
		registry: do.MustInvoke[*membership.Registry](injector),
	}
	// The keeper must register its message handlers before the inner listener opens.
	do.MustInvoke[*provision.Controller](injector)
	srv.callers = srv.gateway.Server()
	srv.inner = srv.innerServer()
	limitMemory(s.MemoryMB)
	srv.guardChat()
	return srv, srv.listen()
}

func (s *Server) listen() error {
	var err error
	if s.callerListener, err = net.Listen("tcp", s.settings.Listen); err != nil {
		return &ListenError{Address: s.settings.Listen, Cause: err}
	}
	if s.innerListener, err = net.Listen("tcp", s.settings.InnerListen); err != nil {
		_ = s.callerListener.Close()
		return &ListenError{Address: s.settings.InnerListen, Cause: err}
	}
	s.callerListener, s.innerListener = s.guard.Callers(s.callerListener), s.guard.Peers(s.innerListener)
	return nil
}

// Run serves until ctx ends, then drains: no accepted request is cut off before
// drainTimeout has passed. It returns the error of the drain.
func (s *Server) Run(ctx context.Context, drainTimeout time.Duration) error {
	background, stop := context.WithCancel(context.Background())
	s.stop = stop
	s.start(func() { s.follower.Run(background) })
	s.start(func() { s.poller.Run(background) })
	s.registryDone.Go(func() { s.registry.Run(background) })
	s.start(func() { s.gateway.Requests.Run(background) })
	s.start(func() { s.gateway.Dispatcher.RunMoves(background) })
	s.start(func() { s.gateway.RunGates(background) })
	s.start(func() { s.awaitLeavingNotice(background) })
	s.start(func() { do.MustInvoke[*quota.Quota](s.injector).Run(background) })
	if keeper := do.MustInvoke[*provision.Controller](s.injector); keeper != nil {
		s.start(func() { keeper.Run(background) })
	}
	s.start(func() { s.guard.Run(background) })
	s.start(func() { s.serve(s.callers, s.callerListener) })
	s.start(func() { s.serve(s.inner, s.innerListener) })
	events.ProcessStarted.Log(s.logger, "host", s.settings.HostID, "listen", s.settings.Listen)
	<-ctx.Done()
	return s.drain(drainTimeout)
}

func (s *Server) start(run func()) {
	s.background.Add(1)
	go func() {
		defer s.background.Done()
		run()
	}()
}

func (s *Server) serve(server *http.Server, listener net.Listener) {
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		events.ListenerFailed.Log(s.logger, "address", listener.Addr().String(), "error", err)
	}
}

// awaitLeavingNotice waits until the platform's host list marks this host as leaving, then
// announces it to callers and peers. Running requests continue until the host stops.
func (s *Server) awaitLeavingNotice(ctx context.Context) {
	ticker := time.NewTicker(hostListInterval)
	defer ticker.Stop()
	for !s.listedLeaving() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
	events.HostNoticed.Log(s.logger, "host", s.settings.HostID)
	s.gateway.PrepareForReclaim()
	s.registry.Leave(ctx)
}

func (s *Server) listedLeaving() bool {
	for _, h := range s.poller.Current().Hosts {
		if h.ID == s.settings.HostID && h.State == hosts.StateLeaving {
			return true
		}
	}
	return false
}

// drain announces that the host leaves, waits up to timeout for the work in progress, and
// stops all components.
func (s *Server) drain(timeout time.Duration) error {
	events.ProcessDraining.Log(s.logger, "host", s.settings.HostID)
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	s.gateway.Requests.BeginDrain()
	s.registry.Leave(ctx)
	time.Sleep(leaveNoticeSpan)
	err := s.gateway.Drain(ctx)
	if shutdownErr := s.callers.Shutdown(ctx); err == nil {
		err = shutdownErr
	}
	s.stop()
	do.MustInvoke[*order.PartitionedLedger](s.injector).Close(ctx)
	s.registryDone.Wait()
	do.MustInvoke[*inner.Client](s.injector).Close()
	do.MustInvoke[*inner.Server](s.injector).Close()
	_ = s.inner.Shutdown(ctx)
	s.background.Wait()
	events.ProcessStopped.Log(s.logger, "host", s.settings.HostID)
	return err
}
