// Package admission implements serving.Authenticator and serving.Admitter.
//
// It drives decision/admission for the limits and queues of this instance and
// decision/share for its part of the client accounts' limits. Without a
// serving.LimitExchange the limits are divided equally between the instances
// named in Options.
package admission
