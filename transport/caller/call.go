package caller

import (
	"context"
	"strings"

	"github.com/valyala/fasthttp"

	"github.com/wisteriahaven/wisteriahaven/estate"
	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/serving"
)

// handleCall serves one call to a plain service.
func (s *Server) handleCall(ctx *fasthttp.RequestCtx, requestID string, account estate.ClientAccount, target string) error {
	service, operation, err := s.findOperation(target)
	if err != nil {
		return err.WithExecution(unsentExecution(ctx))
	}
	running, cancel := context.WithTimeout(s.base, service.Deadline.Std())
	defer cancel()
	result, callErr := s.dependencies.ServiceCaller.Call(running, serving.CallRequest{
		RequestID: requestID,
		Key:       string(ctx.Request.Header.Peek(IdempotencyKeyHeader)),
		Account:   account,
		Service:   service,
		Operation: operation,
		Body:      append([]byte(nil), ctx.PostBody()...),
	})
	if callErr != nil {
		return callErr
	}
	if result.Replayed {
		ctx.Response.Header.Set(ReplayedHeader, "true")
	}
	if result.BodyOmitted {
		ctx.Response.Header.Set(BodyOmittedHeader, "true")
	}
	ctx.SetStatusCode(result.Status)
	ctx.SetContentType(result.ContentType)
	ctx.SetBody(result.Body)
	return nil
}

// findOperation resolves "service/operation".
func (s *Server) findOperation(target string) (estate.Service, estate.Operation, *fault.Error) {
	configuration := s.dependencies.Configuration.Current()
	if configuration == nil {
		return estate.Service{}, estate.Operation{}, fault.New(fault.ConfigurationUnset, "no configuration is in force")
	}
	serviceName, operationName, _ := strings.Cut(target, "/")
	service, operation, found := configuration.Operation(serviceName, operationName)
	if !found {
		return service, operation, fault.New(fault.UnknownService, "no such operation: "+target)
	}
	return service, operation, nil
}
