// Package centreloss decides whether most servers of a service in a data centre were lost in the same moment.
//
// A machine that is suspended answers no connection attempt and then goes on, so that one silent server, or several that
// fell silent one after the other, may continue with their requests. When most of a service's servers in a data centre
// fall silent in the same moment and the asking one answers no connection attempt, they or the path to them are lost.
// The caller reports silent streams, connection attempts and what peers state, with their times. The package opens no
// connections and is deterministic: the caller passes in the time. It is made for up to 10,000 servers, of which only
// those with recent signs are kept, and for questions about one service in one data centre.
package centreloss
