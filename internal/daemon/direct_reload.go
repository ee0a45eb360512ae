package daemon

import (
	"bytes"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/platform"
)

// settingsPollInterval is the time between two reads of the settings file, which
// may change without a signal.
const settingsPollInterval = 2 * time.Second

// followSettings rereads the settings file on SIGHUP and at regular intervals, and
// applies changed addresses of the platform and changed limits. The addresses of
// this process change only at its next start. Settings that can't be read or are
// invalid change nothing.
func (d *directProcess) followSettings(path string) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	last, _ := os.ReadFile(path)
	for {
		select {
		case <-hup:
			d.log.Info("daemon: reload requested")
		case <-ticker.C:
		case <-d.workCtx.Done():
			return
		}
		last = d.reload(path, last)
	}
}

// reload reads the settings file, applies the settings if the content differs from
// last, and returns the content. If the file can't be read, it returns last.
func (d *directProcess) reload(path string, last []byte) []byte {
	b, err := os.ReadFile(path)
	if err != nil {
		d.log.Warn("daemon: failed to read the settings file", "reason", err.Error())
		return last
	}
	if bytes.Equal(b, last) {
		return last
	}
	s, err := platform.DecodeSettings(b)
	if err != nil {
		d.log.Warn("daemon: ignored invalid settings", "reason", err.Error())
		return b
	}
	d.driver.client.Configure(s)
	d.loop.Post(msg.LimitsChanged{Limits: directLimits(s)})
	d.log.Info("daemon: settings reloaded", "store", s.StoreAddr)
	return b
}
