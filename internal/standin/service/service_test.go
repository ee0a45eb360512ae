package service

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Each call is counted, also a repeated one, and each order adds to the stock.
func TestRunsAreCountedAndOrdersRecorded(t *testing.T) {
	is := is.New(t)
	s := New(Config{})
	srv := httptest.NewServer(s)
	defer srv.Close()
	body := `{"item":"salt","quantity":3}`
	for range 2 {
		resp, err := http.Post(srv.URL+"/orders", "application/json", strings.NewReader(body))
		is.NoErr(err)
		resp.Body.Close()
		is.Equal(resp.StatusCode, http.StatusCreated)
	}
	is.Equal(s.Stats().Runs[RunKey("/orders", []byte(body))], 2)
	is.Equal(s.cfg.Register.Stock("salt"), 6)
	resp, err := http.Get(srv.URL + "/stock/salt")
	is.NoErr(err)
	resp.Body.Close()
	is.Equal(s.Stats().Runs[RunKey("/stock/salt", nil)], 1)
}
