package datagram

// quietLogger discards the log lines of gnet, because only numbered events are logged.
type quietLogger struct{}

// Debugf implements logging.Logger.
func (quietLogger) Debugf(string, ...any) {}

// Infof implements logging.Logger.
func (quietLogger) Infof(string, ...any) {}

// Warnf implements logging.Logger.
func (quietLogger) Warnf(string, ...any) {}

// Errorf implements logging.Logger.
func (quietLogger) Errorf(string, ...any) {}

// Fatalf implements logging.Logger.
func (quietLogger) Fatalf(string, ...any) {}
