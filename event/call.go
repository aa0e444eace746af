package event

// Events of calls and quarantines, numbered from 3000.
var ()

var callEvents = []Definition{}
