package fault

import "net/http"

// Failures of forwarded requests.
const (
	RouteUnknown            Code = "route_unknown"
	KeyUnknown              Code = "key_unknown"
	NoConfiguration         Code = "no_configuration"
	NoServer                Code = "no_server"
	InstanceStopping        Code = "instance_stopping"
	TooLittleTime           Code = "too_little_time"
	BodyMemoryFull          Code = "bodies_full"
	UpstreamUnreachable     Code = "upstream_unreachable"
	UpstreamRejected        Code = "upstream_rejected"
	UpstreamBroken          Code = "upstream_broken"
	UpstreamTimeout         Code = "upstream_timeout"
	MessageMalformed        Code = "message_malformed"
	ConfigurationUnreadable Code = "configuration_unreadable"
)

var forwardingDefinitions = map[Code]Definition{
	RouteUnknown:            {http.StatusNotFound, "no route matches the host and path", "check the request and the configuration in force"},
	KeyUnknown:              {http.StatusUnauthorized, "no client account holds the key", "check the key and the configuration in force"},
	NoConfiguration:         {http.StatusServiceUnavailable, "the instance knows no configuration yet", "retry later; check the platform"},
	NoServer:                {http.StatusServiceUnavailable, "no backend server of the service is usable: the request was not sent", "retry later; check the service's backend servers"},
	InstanceStopping:        {http.StatusServiceUnavailable, "the instance stops before it could answer: the request was not sent", "retry at once; another instance serves it"},
	TooLittleTime:           {http.StatusServiceUnavailable, "the caller's time is over before a generation of that length can end: the request was not sent", "ask again with more time"},
	BodyMemoryFull:          {http.StatusServiceUnavailable, "the bodies of other requests take the memory for them: the request was not sent", "retry after the time given; check memory_mb"},
	UpstreamUnreachable:     {http.StatusServiceUnavailable, "no backend server could be reached: the request was not sent", "retry later; check the link and the servers"},
	UpstreamRejected:        {http.StatusServiceUnavailable, "the backend servers rejected the request without running it", "retry after the time given"},
	UpstreamBroken:          {http.StatusBadGateway, "the backend server broke off: the request may have run", "check the backend server for the request's id"},
	UpstreamTimeout:         {http.StatusGatewayTimeout, "no answer within the route's or the client's time: the request may have run", "check the backend server for the request's id"},
	MessageMalformed:        {http.StatusBadRequest, "the request breaks the protocol", "correct the client"},
	ConfigurationUnreadable: {http.StatusUnprocessableEntity, "a version of the configuration can't be read and is ignored", "look at who wrote it"},
}
