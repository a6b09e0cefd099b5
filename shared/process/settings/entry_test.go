package settings

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const validEntry = `format: 1
failure-domain: ege-izmir
caller-address: 127.0.0.1:7001
peer-address: 127.0.0.1:7002
operator-address: 127.0.0.1:7003
platform-url: http://127.0.0.1:7000
mac-keys:
  - id: 1
    secret: MDEyMzQ1Njc4OWFiY2RlZg==
`

// Guards against missing keys that lose their default values.
func TestValidEntryKeepsDefaults(t *testing.T) {
	entry, err := Decode("entry.yaml", []byte(validEntry), DefaultEntry())
	assert.NilError(t, err)
	assert.Equal(t, entry.Placement.Policy, "target")
	assert.Equal(t, entry.Size, 1.0)
}

// Guards against a process that starts with invalid settings, and against errors
// that don't show the operator where the settings are wrong.
func TestFaultsNameFileLineAndKey(t *testing.T) {
	tests := []struct {
		name, old, new, want string
	}{
		{name: "unknown key", old: "format: 1\n", new: "format: 1\nzone: a\n", want: "entry.yaml:2: zone: "},
		{name: "missing domain", old: "failure-domain: ege-izmir\n", new: "", want: "entry.yaml:1: failure-domain: is missing"},
		{name: "host name", old: "127.0.0.1:7002", new: "localhost:7002", want: `entry.yaml:4: peer-address: "localhost:7002" is not IP:port`},
		{name: "same address twice", old: "127.0.0.1:7003", new: "127.0.0.1:7001", want: "entry.yaml:5: operator-address: 127.0.0.1:7001 is also the caller-address"},
		{name: "short secret", old: "MDEyMzQ1Njc4OWFiY2RlZg==", new: "MDEy", want: "entry.yaml:9: mac-keys[0].secret: has 3 bytes, at least 16 are needed"},
		{name: "no secret", old: "    secret: MDEyMzQ1Njc4OWFiY2RlZg==\n", new: "", want: "entry.yaml:8: mac-keys[0].secret: has 0 bytes"},
		{name: "wrong type", old: "format: 1", new: "format: one", want: "entry.yaml:1: "},
		{name: "no TLS off loopback", old: "127.0.0.1:7001", new: "10.0.0.1:7001", want: "entry.yaml:1: tls: is missing; the caller-address 10.0.0.1:7001 is not on loopback"},
		{name: "TLS without key", old: "format: 1\n", new: "format: 1\ntls:\n  certificate: a.pem\n  ca: b.pem\n", want: "entry.yaml:3: tls.key: is missing"},
		{name: "short token", old: "format: 1\n", new: "format: 1\noperator-token: short\n", want: "entry.yaml:2: operator-token: has 5 bytes"},
		{name: "bad policy", old: "format: 1\n", new: "format: 1\nplacement:\n  policy: best\n", want: `entry.yaml:3: placement.policy: "best" is unknown`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			text := strings.Replace(validEntry, test.old, test.new, 1)
			_, err := Decode("entry.yaml", []byte(text), DefaultEntry())
			assert.ErrorContains(t, err, test.want)
		})
	}
}
