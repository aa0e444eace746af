package fault

import "net/http"

// Failures of a caller's request before any work was done.
const (
	Internal           Code = "internal"
	InvalidField       Code = "invalid_field"
	MalformedBody      Code = "malformed_body"
	BodyTooLarge       Code = "body_too_large"
	NotFound           Code = "not_found"
	MethodNotAllowed   Code = "method_not_allowed"
	Unauthenticated    Code = "unauthenticated"
	Stopping           Code = "stopping"
	UnknownService     Code = "unknown_service"
	ConfigurationUnset Code = "configuration_unset"
)

var requestDefinitions = map[Code]Definition{
	Internal:           {http.StatusInternalServerError, "an unexpected failure inside the instance", "report it with the request id"},
	InvalidField:       {http.StatusBadRequest, "a field of the request is wrong", "correct the named field"},
	MalformedBody:      {http.StatusBadRequest, "the body is not valid JSON", "correct the body"},
	BodyTooLarge:       {http.StatusRequestEntityTooLarge, "the body is over the size limit", "send a smaller body"},
	NotFound:           {http.StatusNotFound, "the path or object does not exist", "check the path"},
	MethodNotAllowed:   {http.StatusMethodNotAllowed, "the path does not take this method", "use the documented method"},
	Unauthenticated:    {http.StatusUnauthorized, "the bearer key is missing or unknown", "send a configured bearer key"},
	Stopping:           {http.StatusServiceUnavailable, "the instance is stopping", "send the request to another instance"},
	UnknownService:     {http.StatusNotFound, "no such service or model is configured", "check the configured services"},
	ConfigurationUnset: {http.StatusServiceUnavailable, "the instance holds no configuration yet", "retry; check the platform and the peers"},
}
