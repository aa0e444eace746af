package loopback

import "github.com/wisteriahaven/wisteriahaven/entry"

// Restart aborts an entry instance, as a crash would, and starts a new one on
// its addresses. It does not wait until the new one is ready.
func (e *Estate) Restart(index int) (*entry.Entry, error) {
	e.Entries[index].Abort()
	started := entry.New(e.settings[index], e.options.Logger)
	if err := started.Start(); err != nil {
		return nil, err
	}
	e.Entries[index] = started
	return started, nil
}
