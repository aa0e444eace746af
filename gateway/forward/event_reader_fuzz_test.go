package forward

import "testing"

// FuzzEventReader checks that no stream makes the reader panic, and that its memory is bounded, in whatever parts it comes.
func FuzzEventReader(f *testing.F) {
	for _, seed := range []string{"id: 1\ndata: x\n\n", ": c\r\n\r\nid: 18446744073709551615\r\ndata: x\r\n\r\n", "id: 2\n\nid: 1\n\n\n\n", "id:\ndata\n\n"} {
		f.Add([]byte(seed), uint64(0), 3)
	}
	f.Fuzz(func(t *testing.T, data []byte, position uint64, part int) {
		reader := eventReader{position: position, positionKnown: position > 0}
		size := max(1, min(part, 4096))
		var into []byte
		for len(data) > 0 {
			n := min(size, len(data))
			events, _, err := reader.push(data[:n], into)
			if err != nil {
				return
			}
			if len(reader.partial) > maxEventBytes+n {
				t.Fatalf("%d bytes are kept", len(reader.partial))
			}
			into, data = events, data[n:]
		}
	})
}
