package relay

// blockBytes is the unit in which memory is taken for what is held.
const blockBytes = 4096

// queue holds bytes in order, in blocks that are counted in full against the budget.
type queue struct {
	account Account
	blocks  [][]byte
	// read and written are the positions in the first and in the last block.
	read, written int
}

// push appends a part of p as far as the account may grow. It returns the length of the
// part.
func (q *queue) push(p []byte) int {
	pushed := 0
	for pushed < len(p) {
		if len(q.blocks) == 0 || q.written == blockBytes {
			if !q.account.Grow(blockBytes) {
				break
			}
			q.blocks = append(q.blocks, make([]byte, blockBytes))
			q.written = 0
		}
		n := copy(q.blocks[len(q.blocks)-1][q.written:], p[pushed:])
		q.written += n
		pushed += n
	}
	return pushed
}

// head returns the first bytes, or nothing if the queue is empty.
func (q *queue) head() []byte {
	switch len(q.blocks) {
	case 0:
		return nil
	case 1:
		return q.blocks[0][q.read:q.written]
	}
	return q.blocks[0][q.read:]
}

// pop removes the first n bytes, which are at most those of head. It frees a block that
// has been read to its end.
func (q *queue) pop(n int) {
	q.read += n
	if len(q.head()) > 0 {
		return
	}
	q.blocks[0] = nil
	q.blocks = q.blocks[1:]
	q.read = 0
	q.account.Shrink(blockBytes)
}

// clear frees everything.
func (q *queue) clear() {
	q.blocks = nil
	q.account.Close()
}
