package event

// Events of operator commands, numbered from 6000.
var ()

var operatorEvents = []Definition{}
