// Package admission implements serving.Authenticator and serving.Admitter.
//
// It runs decision/admission for the limits and queues of this instance and
// decision/share for its share of the client accounts' limits. Without a
// serving.LimitExchange the limits are divided equally between the instances
// named in Options. The package doesn't choose backend servers.
package admission
