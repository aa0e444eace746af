// Package httpstore is the HTTP client for the platform's object API.
package httpstore

import (
	"context"
	"encoding/json"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/objectstore"
	"github.com/wisteriahaven/wisteriahaven/transport/http1"
)

const domain = "platform/httpstore"

// Timeouts of the client.
const (
	callTimeout = 3 * time.Second
	// watchWait is how long the platform may hold a watch without a change. Only an answer shows
	// that a watch still waits there, and a change has to be in force within 3 s.
	watchWait    = 1200 * time.Millisecond
	watchTimeout = watchWait + 1500*time.Millisecond
)

// Store is an objectstore.Store over HTTP. It does not retry.
type Store struct {
	base   string
	client *fasthttp.Client
}

// New returns a store for the object API at a base URL.
func New(base string) *Store {
	return &Store{
		base: strings.TrimSuffix(base, "/"),
		client: &fasthttp.Client{
			Dial:                      http1.StrictDial(fasthttp.Dial),
			MaxIdemponentCallAttempts: 1,
			MaxResponseBodySize:       64 << 20,
			RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		},
	}
}

// Get implements objectstore.Store.
func (s *Store) Get(ctx context.Context, key string) (objectstore.Object, error) {
	var object objectstore.Object
	query := url.Values{objectstore.KeyArgument: {key}}
	err := s.do(ctx, fasthttp.MethodGet, objectstore.ObjectsPath, query, nil, callTimeout, &object)
	return object, err
}

// Put implements objectstore.Store.
func (s *Store) Put(ctx context.Context, key string, value []byte, condition objectstore.Condition) (uint64, error) {
	if len(value) > objectstore.MaxValueBytes {
		return 0, fault.New(fault.PlatformValueTooLarge, "value of "+key+" is over the size limit")
	}
	var object objectstore.Object
	query := conditionQuery(key, condition)
	err := s.do(ctx, fasthttp.MethodPut, objectstore.ObjectsPath, query, value, callTimeout, &object)
	return object.Version, err
}

// Delete implements objectstore.Store.
func (s *Store) Delete(ctx context.Context, key string, condition objectstore.Condition) error {
	return s.do(ctx, fasthttp.MethodDelete, objectstore.ObjectsPath, conditionQuery(key, condition), nil, callTimeout, nil)
}

// List implements objectstore.Store.
func (s *Store) List(ctx context.Context, prefix string) ([]objectstore.Object, error) {
	var list objectstore.ObjectList
	query := url.Values{objectstore.PrefixArgument: {prefix}}
	err := s.do(ctx, fasthttp.MethodGet, objectstore.ObjectsPath, query, nil, callTimeout, &list)
	return list.Objects, err
}

// Watch implements objectstore.Store.
func (s *Store) Watch(ctx context.Context, prefix string, after uint64) ([]objectstore.Change, error) {
	var list objectstore.ChangeList
	query := url.Values{
		objectstore.PrefixArgument: {prefix},
		objectstore.AfterArgument:  {strconv.FormatUint(after, 10)},
		objectstore.WaitArgument:   {watchWait.String()},
	}
	err := s.do(ctx, fasthttp.MethodGet, objectstore.WatchPath, query, nil, watchTimeout, &list)
	return list.Changes, err
}

func conditionQuery(key string, condition objectstore.Condition) url.Values {
	query := url.Values{objectstore.KeyArgument: {key}}
	absent, version := condition.Query()
	if absent {
		query.Set(objectstore.AbsentArgument, "true")
	}
	if version != 0 {
		query.Set(objectstore.VersionArgument, strconv.FormatUint(version, 10))
	}
	return query
}

// do makes one call and decodes the response into answer, unless that is nil. A write without a
// response is a PlatformAnswerLost error, because it may have been applied.
func (s *Store) do(ctx context.Context, method, path string, query url.Values, body []byte, timeout time.Duration, answer any) error {
	request := fasthttp.AcquireRequest()
	response := fasthttp.AcquireResponse()
	request.Header.SetMethod(method)
	request.SetRequestURI(s.base + path + "?" + query.Encode())
	request.SetBody(body)
	result := make(chan error, 1)
	go func() {
		result <- s.client.DoTimeout(request, response, timeout)
	}()
	select {
	case <-ctx.Done():
		// The call continues in the background and still uses its buffers, so they are not
		// released.
		return noResponseError(method, ctx.Err())
	case err := <-result:
		defer fasthttp.ReleaseRequest(request)
		defer fasthttp.ReleaseResponse(response)
		if err != nil {
			return noResponseError(method, err)
		}
		return decode(method, response, answer)
	}
}

// noResponseError returns the error for a call without a complete response.
func noResponseError(method string, cause error) error {
	if method == fasthttp.MethodGet {
		return fault.Wrap(fault.PlatformUnavailable, domain, "no complete response", cause)
	}
	return fault.Wrap(fault.PlatformAnswerLost, domain, "no complete response to a write", cause)
}

// decode decodes the response of a call. One to a write that can't be read counts as lost.
func decode(method string, response *fasthttp.Response, answer any) error {
	switch status := response.StatusCode(); status {
	case fasthttp.StatusOK:
	case fasthttp.StatusNotFound:
		return fault.New(fault.NotFound, "no such object")
	case fasthttp.StatusConflict:
		return fault.New(fault.PlatformConflict, "the condition does not hold")
	case fasthttp.StatusTooManyRequests:
		return fault.New(fault.PlatformRateLimited, "the platform's rate limit was reached")
	case fasthttp.StatusRequestEntityTooLarge:
		return fault.New(fault.PlatformValueTooLarge, "the value is over the size limit")
	default:
		return fault.New(fault.PlatformUnavailable, "status "+strconv.Itoa(status))
	}
	if answer == nil {
		return nil
	}
	if err := json.Unmarshal(response.Body(), answer); err != nil {
		return noResponseError(method, err)
	}
	return nil
}
