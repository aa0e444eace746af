package fault

import "net/http"

// Failures of forwarded requests.
const (
	RouteUnknown               Code = "route_unknown"
	KeyUnknown                 Code = "key_unknown"
	NoConfiguration            Code = "no_configuration"
	NoServer                   Code = "no_server"
	NoRoom                     Code = "no_room"
	InstanceStopping           Code = "instance_stopping"
	TooLittleTime              Code = "too_little_time"
	SoftwareVersionUnknown     Code = "software_version_unknown"
	SoftwareVersionUnavailable Code = "software_version_unavailable"
	StreamRecordsInvalid       Code = "stream_records_invalid"
	QuarantinesInvalid         Code = "quarantines_invalid"
	BodyMemoryFull             Code = "bodies_full"
	RelayedRequestsFull        Code = "relayed_requests_full"
	AnswerMemoryFull           Code = "answers_full"
	UpstreamUnreachable        Code = "upstream_unreachable"
	UpstreamLeaves             Code = "upstream_leaves"
	UpstreamRejected           Code = "upstream_rejected"
	UpstreamBroken             Code = "upstream_broken"
	UpstreamTimeout            Code = "upstream_timeout"
	MessageMalformed           Code = "message_malformed"
	ConfigurationUnreadable    Code = "configuration_unreadable"
	AnswerFieldInvalid         Code = "answer_field_invalid"
)

var forwardingDefinitions = map[Code]Definition{
	RouteUnknown:               {http.StatusNotFound, "no route matches the host and path", "check the request and the configuration in force"},
	KeyUnknown:                 {http.StatusUnauthorized, "no client account holds the key", "check the key and the configuration in force"},
	NoConfiguration:            {http.StatusServiceUnavailable, "the instance has no configuration yet", "retry later; check the platform"},
	NoRoom:                     {http.StatusServiceUnavailable, "every usable backend server of the service has as many requests as this instance may send it: the request was not sent", "retry later; servers that state a rejection limit or a request rate get no more requests than that allows"},
	NoServer:                   {http.StatusServiceUnavailable, "no backend server of the service is usable: the request was not sent", "retry later; check the service's backend servers"},
	InstanceStopping:           {http.StatusServiceUnavailable, "the instance stopped before it could answer: the request was not sent", "retry at once; another instance serves it"},
	TooLittleTime:              {http.StatusServiceUnavailable, "the remaining time is too short for a generation of that length: the request was not sent", "retry with a later deadline"},
	SoftwareVersionUnknown:     {http.StatusServiceUnavailable, "the stream can't be resumed, because the software version that began it is unknown: the request was not sent", "request the generation from its start"},
	SoftwareVersionUnavailable: {http.StatusServiceUnavailable, "no backend server has the software version that began the stream: the request was not sent", "retry after the time given, or request the generation from its start"},
	StreamRecordsInvalid:       {http.StatusServiceUnavailable, "records of streams in the store can't be read and are ignored", "check what wrote them"},
	QuarantinesInvalid:         {http.StatusServiceUnavailable, "the quarantined requests in the store can't be read and are ignored", "check what wrote them"},
	BodyMemoryFull:             {http.StatusServiceUnavailable, "the bodies of other requests use up the memory for bodies: the request was not sent", "retry after the time given; check memory_mb"},
	RelayedRequestsFull:        {http.StatusServiceUnavailable, "the instance serves the maximum number of requests of peers: the request was not sent", "none: the peer hands it to another instance"},
	AnswerMemoryFull:           {http.StatusBadGateway, "the answers to other requests use up the memory for answers: the request may have run", "look for backend servers whose answers are long or without end; check memory_mb"},
	UpstreamUnreachable:        {http.StatusServiceUnavailable, "no backend server could be reached: the request was not sent", "retry later; check the link and the servers"},
	UpstreamLeaves:             {http.StatusServiceUnavailable, "the backend server chosen became known to leave, and no other is usable: the request was not sent", "retry after the time given"},
	UpstreamRejected:           {http.StatusServiceUnavailable, "the backend servers rejected the request without running it", "retry after the time given"},
	UpstreamBroken:             {http.StatusBadGateway, "the backend server did not finish its answer: the request may have run", "check the backend server for the request's id"},
	UpstreamTimeout:            {http.StatusGatewayTimeout, "no answer within the route's or the client's time: the request may have run", "check the backend server for the request's id"},
	MessageMalformed:           {http.StatusBadRequest, "the request violates the protocol", "correct the client"},
	AnswerFieldInvalid:         {http.StatusBadGateway, "a header field of a backend server's answer can't be read and has no effect", "check the backend server"},
	ConfigurationUnreadable:    {http.StatusUnprocessableEntity, "a version of the configuration can't be read and is ignored", "check what wrote it"},
}
