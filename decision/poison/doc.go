// Package poison decides which requests are rejected because they crash the backend servers that run
// them.
//
// Every crash of a server counts against the requests that it had just begun to run, and against the parts of
// their prompts that other requests may share. Settings.Threshold crashes quarantine a request. Crashes under
// several requests quarantine the parts that these have in common. Which of the parts is the cause is not known:
// only requests that hold all of them are rejected, until runs without a crash or further crashes tell.
//
// What ran without a crash, in the meantime or shortly before, doesn't count as a cause, because a request that
// crashes servers does so whenever it runs. Such a run also ends a quarantine. After its quarantine a request is sent
// again, and its next crash quarantines it again.
//
// Each instance keeps a Table. Tables exchange news: crashes, runs that ended without one, and quarantines. A table
// passes on what was new to it, so that news reach all instances, also those that start later.
//
// The package is deterministic: the caller passes in the time. It neither detects crashes nor sends
// anything.
package poison
