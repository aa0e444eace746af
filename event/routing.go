package event

// Events of admission, routing and limits, numbered from 4000.
var ()

var routingEvents = []Definition{}
