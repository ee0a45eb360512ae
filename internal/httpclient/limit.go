package httpclient

import "io"

// limitedReader reads at most left bytes from r. It then fails with [ErrTooLong].
type limitedReader struct {
	r    io.Reader
	left int
}

// Read implements [io.Reader].
func (l *limitedReader) Read(b []byte) (int, error) {
	if l.left <= 0 {
		return 0, ErrTooLong
	}
	n, err := l.r.Read(b[:min(len(b), l.left)])
	l.left -= n
	return n, err
}
