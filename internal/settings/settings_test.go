package settings

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

const entrySettings = `role: entry
host: h1
failureDomain: fd-a
region: local
listen: {http: "127.0.0.1:8080", link: "127.0.0.1:9000"}
platform: {objects: "http://127.0.0.1:7000", hosts: "http://127.0.0.1:7000"}
tls: {ca: ca.pem, cert: h1.pem, key: h1-key.pem}
`

func TestDecode(t *testing.T) {
	tests := []struct{ name, old, new, want string }{
		{"valid", "", "", ""},
		{"host name instead of IP address", "127.0.0.1:8080", "localhost:8080", `line 5, column 10: $.listen.http: "localhost:8080" is not an IP address`},
		{"entry daemon without HTTP address", `http: "127.0.0.1:8080", `, "", "$.listen.http: is missing"},
		{"side daemon without target", "role: entry", "role: side", "$.target: is missing"},
		{"HTTP certificate without key", "key: h1-key.pem", "key: h1-key.pem, httpCert: x.pem", "together or not at all"},
		{"unknown field", "host: h1", "host: h1\nhots: h1", `line 3, column 1: $.hots: unknown field "hots"`},
		{"bad URL", "objects: \"http://127.0.0.1:7000\"", "objects: \"127\"", "is not a URL"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s, err := Decode([]byte(strings.Replace(entrySettings, tt.old, tt.new, 1)))
			if tt.want == "" {
				is.NoErr(err)
				is.Equal(s.Log.Format, "text")
				return
			}
			is.True(err != nil)
			if !strings.Contains(err.Error(), tt.want) {
				t.Fatalf("got  %v\nwant %s", err, tt.want)
			}
		})
	}
}
