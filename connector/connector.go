// Package connector creates HTTP transports that detect unresponsive peers, and a clock
// that also advances while the machine is suspended.
package connector

import (
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Config describes a transport.
type Config struct {
	DialTimeout    time.Duration // maximum time to establish a connection
	UnackedTimeout time.Duration // a connection is closed if data stays unacknowledged this long
	IdleTimeout    time.Duration // an idle connection is closed after this time
	MaxIdlePerHost int           // maximum number of idle connections kept to one host

	Clock func() time.Time // the clock of WithNotAfter; nil: requests have no such limit
}

const (
	keepAliveInterval = time.Second // idle time before the first keep-alive probe, and between probes
	keepAliveProbes   = 3           // unanswered probes before a connection is closed; the kernel ignores it if UnackedTimeout is above 0
	bufferSize        = 4 << 10     // size of the read buffer and of the write buffer of a connection, in bytes
)

// NewTransport returns a transport that closes a connection if the peer doesn't
// acknowledge data within cfg.UnackedTimeout or doesn't answer keep-alive probes.
func NewTransport(cfg Config) *http.Transport {
	dialer := &net.Dialer{
		Timeout: cfg.DialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveProbes,
		},
		Control: func(_, _ string, c syscall.RawConn) error { return setUserTimeout(c, cfg.UnackedTimeout) },
	}
	dial := dialFunc(dialer.DialContext)
	if cfg.Clock != nil {
		dial = withPermissions(dial, cfg.Clock)
	}
	return &http.Transport{
		DialContext:         dial,
		MaxIdleConnsPerHost: cfg.MaxIdlePerHost,
		IdleConnTimeout:     cfg.IdleTimeout,
		DisableCompression:  true,
		ReadBufferSize:      bufferSize,
		WriteBufferSize:     bufferSize,
	}
}

// setUserTimeout sets TCP_USER_TIMEOUT: the maximum time that sent data may stay
// unacknowledged before the kernel closes the connection.
func setUserTimeout(c syscall.RawConn, timeout time.Duration) error {
	var optionErr error
	err := c.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optionErr
}

// BootClock returns a monotonic clock that starts at the wall time of the call and also
// advances while the machine is suspended, so that leases and timeouts expire meanwhile.
func BootClock() func() time.Time {
	start := time.Now().Round(0)
	startBootTime := bootTime()
	return func() time.Time { return start.Add(bootTime() - startBootTime) }
}

// bootTime returns the time since boot, including the time that the machine was suspended.
func bootTime() time.Duration {
	var ts unix.Timespec
	err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts)
	if err != nil {
		panic(err) // CLOCK_BOOTTIME exists since Linux 2.6.39
	}
	return time.Duration(ts.Nano())
}
