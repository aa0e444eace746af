package forward

import "github.com/wisteriahaven/wisteriahaven/fault"

// errPanicked is the error of an attempt that an unexpected error ended; the server may have run the request.
var errPanicked = fault.New(fault.Internal, "an unexpected error ended the attempt")
