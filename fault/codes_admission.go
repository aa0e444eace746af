package fault

import "net/http"

// Failures of requests that wait for room.
const (
	NoRoomInTime         Code = "no_room_in_time"
	ConfigurationChanged Code = "configuration_changed"
)

var admissionDefinitions = map[Code]Definition{
	NoRoomInTime:         {http.StatusServiceUnavailable, "no backend server is expected to have room in time: the request was not sent", "retry after the time given; add backend servers"},
	ConfigurationChanged: {http.StatusServiceUnavailable, "the configuration of the request's route or client account changed while it waited: the request was not sent", "retry at once"},
}
