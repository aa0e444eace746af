package forward

import (
	"github.com/wisteriahaven/wisteriahaven/event"
	"github.com/wisteriahaven/wisteriahaven/gateway/directory"
	"github.com/wisteriahaven/wisteriahaven/gateway/message"
	"github.com/wisteriahaven/wisteriahaven/transport/http1"
)

// readAnswer reads the head of a server's answer and acts on what the server states there about
// itself.
func (f *Forwarder) readAnswer(server *directory.Server, head *http1.Response) message.Answer {
	answer := f.protocol.ParseAnswer(head)
	f.recordStatements(server, &answer)
	return answer
}

// recordStatements acts on what a server states about itself in an answer: that it leaves, or
// that it wants no request of this instance for a while. An answer of another server at the
// same address says nothing about this one.
func (f *Forwarder) recordStatements(server *directory.Server, answer *message.Answer) {
	if answer.WrongServer || (answer.Server != "" && answer.Server != server.ID) {
		return
	}
	if answer.Invalid != nil {
		f.meters.count("servers.answer_fields_invalid")
		event.Log(f.logger, event.AnswerFieldInvalid).Str("server", server.ID).Err(answer.Invalid).Send()
	}
	f.admissions.recordLoad(server.Service, answer.Load)
	f.recordLoad(server, answer.Load)
	f.selector.recordRequestRate(server, answer)
	if f.selector.recordRejectionLimit(server, answer) {
		f.meters.count("servers.rejections")
		f.onRejection(server)
	}
	if answer.RetryAfter > 0 {
		f.selector.recordRefusal(server, answer.RetryAfter)
	}
	if answer.Leaving && f.directory.MarkLeaving(server) {
		event.Log(f.logger, event.ServerLeaving).Str("server", server.ID).Str("address", server.Address).Send()
		f.onLeaving(server)
	}
}
