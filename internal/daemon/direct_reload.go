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

// settingsEvery is the time between two looks at the settings file, which may
// change without a signal.
const settingsPollInterval = 2 * time.Second

// followSettings takes changed settings: addresses of the platform and limits.
// Addresses of this process stay as they are until it starts again. Settings
// that can't be read or don't pass their check change nothing.
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

// reload reads the settings file and returns its content.
func (d *directProcess) reload(path string, last []byte) []byte {
	b, err := os.ReadFile(path)
	if err != nil {
		d.log.Warn("daemon: settings not read", "reason", err.Error())
		return last
	}
	if bytes.Equal(b, last) {
		return last
	}
	s, err := platform.DecodeSettings(b)
	if err != nil {
		d.log.Warn("daemon: settings refused", "reason", err.Error())
		return b
	}
	d.driver.client.Configure(s)
	d.loop.Post(msg.LimitsChanged{Limits: directLimits(s)})
	d.log.Info("daemon: settings reloaded", "store", s.StoreAddr)
	return b
}
