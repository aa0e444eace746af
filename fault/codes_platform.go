package fault

import "net/http"

// Failures of calls to the platform.
const (
	PlatformConflict      Code = "platform_conflict"
	PlatformUnavailable   Code = "platform_unavailable"
	PlatformRateLimited   Code = "platform_rate_limited"
	PlatformAnswerLost    Code = "platform_answer_lost"
	PlatformValueTooLarge Code = "platform_value_size"
	PlatformHistoryGone   Code = "platform_history_gone"
	ServerEntryInvalid    Code = "server_entry_invalid"
	StoreEraInvalid       Code = "store_era_invalid"
	StoreObjectInvalid    Code = "store_object_invalid"
)

var platformDefinitions = map[Code]Definition{
	PlatformConflict:      {http.StatusConflict, "the object changed since it was read", "read it again"},
	PlatformUnavailable:   {http.StatusServiceUnavailable, "the platform did not accept the call", "retry later; check the platform"},
	PlatformRateLimited:   {http.StatusTooManyRequests, "the platform's or our own rate limit was reached", "retry later"},
	PlatformAnswerLost:    {http.StatusBadGateway, "the platform's answer was lost: the write may have been applied", "read the object back"},
	PlatformValueTooLarge: {http.StatusRequestEntityTooLarge, "the value is over the platform's size limit", "split the value"},
	PlatformHistoryGone:   {http.StatusGone, "the platform no longer has the changes since a revision", "list the objects again"},
	StoreEraInvalid:       {http.StatusBadGateway, "the store's answer states no usable era: the answer is ignored", "check the store"},
	StoreObjectInvalid:    {http.StatusUnprocessableEntity, "an object in the store can't be read and is ignored", "check what wrote it"},
	ServerEntryInvalid:    {http.StatusUnprocessableEntity, "a backend server's entry in the store is invalid", "check what wrote the entry"},
}
