// Package standin holds stand-ins for the systems around an entry instance: model
// engines, plain services, the platform's object API and instance list, and the
// weight store. They speak the published protocols and produce the failures that
// the system must handle.
package standin
