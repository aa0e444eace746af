package event

// Events of membership, configuration and orders, numbered from 5000.
var ()

var controlEvents = []Definition{}
