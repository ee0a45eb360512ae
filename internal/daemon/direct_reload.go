package daemon

import (
	"bytes"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/platform"
)

// settingsPollInterval is the time between two reads of the settings file, which
// may change without a signal.
const settingsPollInterval = 2 * time.Second

// settingsFile is the settings file of a running process.
type settingsFile struct {
	path string
	// hangups receives SIGHUP, which announces that the file has changed.
	hangups chan os.Signal
	// content is the content that was read last.
	content []byte
}

// openSettingsFile catches SIGHUP and then reads the settings, so that no change
// after the read is missed. A caller that gets no error must call close.
func openSettingsFile(path string) (*settingsFile, *platform.Settings, error) {
	f := &settingsFile{path: path, hangups: make(chan os.Signal, 1)}
	signal.Notify(f.hangups, syscall.SIGHUP)
	if _, err := f.read(); err != nil {
		f.close()
		return nil, nil, err
	}
	s, err := platform.DecodeSettings(f.content)
	if err != nil {
		f.close()
		return nil, nil, err
	}
	return f, s, nil
}

// read reads the file and reports whether its content has changed.
func (f *settingsFile) read() (changed bool, err error) {
	b, err := os.ReadFile(f.path)
	if err != nil {
		return false, errors.Wrap(err, "read settings")
	}
	changed = !bytes.Equal(b, f.content)
	f.content = b
	return changed, nil
}

// close stops catching SIGHUP, which then ends the process.
func (f *settingsFile) close() { signal.Stop(f.hangups) }

// followSettings rereads the settings file on SIGHUP and at regular intervals, and
// applies changed addresses of the platform and changed limits. The addresses of
// this process change only at its next start. Settings that can't be read or are
// invalid change nothing.
func (d *directProcess) followSettings() {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-d.file.hangups:
			d.log.Info("daemon: reload requested")
		case <-ticker.C:
		case <-d.workCtx.Done():
			return
		}
		d.reload()
	}
}

// reload reads the settings file and applies the settings if its content has
// changed.
func (d *directProcess) reload() {
	changed, err := d.file.read()
	if err != nil {
		d.log.Warn("daemon: failed to read the settings file", "reason", err.Error())
		return
	}
	if !changed {
		return
	}
	s, err := platform.DecodeSettings(d.file.content)
	if err != nil {
		d.log.Warn("daemon: ignored invalid settings", "reason", err.Error())
		return
	}
	d.driver.client.Configure(s)
	d.loop.Post(msg.LimitsChanged{Limits: directLimits(s)})
	d.log.Info("daemon: settings reloaded", "store", s.StoreAddr)
}
