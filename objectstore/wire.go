package objectstore

// Paths and query arguments of the object API's HTTP interface.
//
//	GET    /v1/objects?key=k                     Object
//	GET    /v1/objects?prefix=p                  ObjectList
//	PUT    /v1/objects?key=k[&absent=true|&version=n]   body: the value -> Object without value
//	DELETE /v1/objects?key=k[&version=n]
//	GET    /v1/watch?prefix=p&after=n&wait=25s   ChangeList; empty when the wait times out
const (
	ObjectsPath     = "/v1/objects"
	WatchPath       = "/v1/watch"
	KeyArgument     = "key"
	PrefixArgument  = "prefix"
	AbsentArgument  = "absent"
	VersionArgument = "version"
	AfterArgument   = "after"
	WaitArgument    = "wait"
)

// ObjectList is the response body of a list.
type ObjectList struct {
	Objects []Object `json:"objects"`
}

// ChangeList is the response body of a watch.
type ChangeList struct {
	Changes []Change `json:"changes"`
}
