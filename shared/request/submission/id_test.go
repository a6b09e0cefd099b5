package submission_test

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"tanagerfall/shared/request/submission"
)

// Guards against a decoder that accepts a forged or mangled ID or a second text
// for the same ID, and against a panic on any input.
func FuzzDecode(f *testing.F) {
	keyring := submission.NewKeyring(submission.MacKey{ID: 1, Secret: []byte("secret")})
	for _, id := range newLedger(0).Issue(start, "team", 3) {
		f.Add(keyring.Encode(id))
	}
	f.Add("")
	f.Add("AAAA")
	f.Add(keyring.Encode(newLedger(0).Issue(start, "", 1)[0]) + "\n")
	f.Fuzz(func(t *testing.T, text string) {
		// With a valid MAC the input reaches the decoder of the body.
		mac := hmac.New(sha256.New, []byte("secret"))
		mac.Write([]byte(text))
		body := append([]byte(text), mac.Sum(nil)[:16]...)
		_, _ = keyring.Decode(base64.RawURLEncoding.EncodeToString(body))
		id, err := keyring.Decode(text)
		if err != nil {
			assert.Assert(t, errors.Is(err, submission.ErrMalformed) || errors.Is(err, submission.ErrForged), "%v", err)
			return
		}
		assert.Equal(t, keyring.Encode(id), text)
	})
}

// Guards against an ID that stays valid after the key that signed it was
// removed, against one that becomes invalid while that key is kept, and against
// one that is signed with the key of another deployment.
func TestKeyReplacement(t *testing.T) {
	older := submission.MacKey{ID: 1, Secret: []byte("older")}
	newer := submission.MacKey{ID: 2, Secret: []byte("newer")}
	text := submission.NewKeyring(older).Encode(newLedger(0).Issue(start, "team", 1)[0])
	_, err := submission.NewKeyring(newer, older).Decode(text)
	assert.NilError(t, err)
	_, err = submission.NewKeyring(newer).Decode(text)
	assert.ErrorIs(t, err, submission.ErrForged)
	_, err = submission.NewKeyring(submission.MacKey{ID: 1, Secret: []byte("other")}).Decode(text)
	assert.ErrorIs(t, err, submission.ErrForged)
}
