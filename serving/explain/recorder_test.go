package explain_test

import (
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/wisteriahaven/wisteriahaven/serving"
	"github.com/wisteriahaven/wisteriahaven/serving/explain"
)

func subjects(decisions []serving.Decision) string {
	var names []string
	for _, decision := range decisions {
		names = append(names, decision.Subject)
	}
	return strings.Join(names, " ")
}

func TestRecorderKeepsTheNewestInOrder(t *testing.T) {
	is := is.New(t)
	recorder := explain.NewRecorder(4)
	is.Equal(len(recorder.Recent(2)), 0)
	for i := range 10 {
		recorder.Record(serving.Decision{Subject: strconv.Itoa(i), Server: "s" + strconv.Itoa(i%2)})
	}
	is.Equal(subjects(recorder.Recent(9)), "6 7 8 9")
	is.Equal(subjects(recorder.Recent(3)), "7 8 9")
	is.Equal(subjects(recorder.Recent(1)), "9")
	is.Equal(subjects(recorder.Recent(0)), "")
	is.Equal(subjects(recorder.Explain("7")), "7")
	is.Equal(subjects(recorder.Explain("2")), "")
	is.Equal(subjects(recorder.About("s1")), "7 9")
}
