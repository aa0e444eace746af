// Package placement chooses the backend server of one request, and the one that
// keeps a copy of a running generation.
//
// It answers two loads. Generations with long prompts: a server that reads a
// prompt makes every neighbour wait, and holds few generations in its memory,
// so that the number of free slots says little; servers are compared by the
// prompt tokens that wait there and by memory. Short calls: servers differ in
// speed and fail in part, so that they are compared by how long their answers
// took, how long the oldest unanswered call has waited and how often they fail.
//
// A Ledger holds what one instance knows: its own requests, what other
// instances said about theirs, and how servers answered. It has no clock,
// sockets or locks.
package placement
