// Package standin holds the small stand-ins for everything around the system:
// model engines, plain services, the platform's object API and instance list,
// and the weight store. They follow the published protocols and produce the
// failures that the system is built for.
package standin
