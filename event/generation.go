package event

// Events of generations, numbered from 2000.
var ()

var generationEvents = []Definition{}
