package daemon

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"

	"github.com/cockroachdb/errors"
)

// maxStateBody is the largest response in bytes that is read from a target in one
// call for its state.
const maxStateBody = 4 << 20

// isDialError reports whether a call failed before a connection was established.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// getJSON sends a GET request to a target and decodes the JSON response into v.
func getJSON(ctx context.Context, c *http.Client, url string, v any) error {
	ctx, stop := context.WithTimeout(ctx, targetCallTimeout)
	defer stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := c.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return errors.Newf("%s answered %d", req.URL.Path, resp.StatusCode)
	}
	return json.NewDecoder(io.LimitReader(resp.Body, maxStateBody)).Decode(v)
}
