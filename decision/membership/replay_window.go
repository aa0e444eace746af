package membership

// replayWindowBits is how far a digest's sequence may be behind the highest received one.
const replayWindowBits = 64

// replayWindow records which sequences of one incarnation were received. Bit i
// of seen stands for the sequence highest-i.
type replayWindow struct {
	incarnation uint64
	highest     uint64
	seen        uint64
}

// accept records a sequence and reports whether it is new.
func (w *replayWindow) accept(incarnation, sequence uint64) bool {
	if incarnation < w.incarnation {
		return false
	}
	if incarnation > w.incarnation {
		*w = replayWindow{incarnation: incarnation, highest: sequence, seen: 1}
		return true
	}
	if sequence > w.highest {
		w.advance(sequence)
		return true
	}
	behind := w.highest - sequence
	if behind >= replayWindowBits || w.seen&(1<<behind) != 0 {
		return false
	}
	w.seen |= 1 << behind
	return true
}

func (w *replayWindow) advance(sequence uint64) {
	distance := sequence - w.highest
	if distance >= replayWindowBits {
		w.seen = 0
	} else {
		w.seen <<= distance
	}
	w.seen |= 1
	w.highest = sequence
}
