package binding

import (
	"encoding/binary"
	"encoding/hex"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// MaxTeamBytes is the maximum length of a team's name. It keeps the text of
	// an ID issued for the team below submission.MaxTextBytes.
	MaxTeamBytes = 128
	uuidBytes    = 16
	uuidVersion  = 7
)

// ErrMalformedKey reports a text that is not a UUID of version 7, or a team name
// that is empty or longer than MaxTeamBytes.
var ErrMalformedKey = eris.New("malformed Idempotency-Key")

// UUID is a UUID of version 7 as defined by RFC 9562. It contains its creation
// time in Unix milliseconds.
type UUID [uuidBytes]byte

// Key is an Idempotency-Key within a team. The same UUID is a different key for
// another team.
type Key struct {
	Team string
	UUID UUID
}

// ParseKey parses the text form of a UUID of version 7, with digits in upper or
// lower case, as a key of team. The error wraps ErrMalformedKey.
func ParseKey(team, text string) (Key, error) {
	if team == "" || len(team) > MaxTeamBytes {
		return Key{}, eris.Wrapf(ErrMalformedKey, "team has %d bytes, allowed are 1 to %d", len(team), MaxTeamBytes)
	}
	const layout = "xxxxxxxx-xxxx-xxxx-xxxx-xxxxxxxxxxxx"
	if len(text) != len(layout) {
		return Key{}, eris.Wrap(ErrMalformedKey, "not a UUID")
	}
	for i := range layout {
		if (layout[i] == '-') != (text[i] == '-') {
			return Key{}, eris.Wrap(ErrMalformedKey, "not a UUID")
		}
	}
	key := Key{
		Team: team,
	}
	if _, err := hex.Decode(key.UUID[:], []byte(strings.ReplaceAll(text, "-", ""))); err != nil {
		return Key{}, eris.Wrap(ErrMalformedKey, "not a UUID")
	}
	if !key.UUID.valid() {
		return Key{}, eris.Wrap(ErrMalformedKey, "not a UUID of version 7")
	}
	return key, nil
}

// NewUUID returns the UUID of version 7 with the given time and random bytes.
// The version and variant replace 6 bits of random.
func NewUUID(timestamp time.Time, random [10]byte) UUID {
	var uuid UUID
	binary.BigEndian.PutUint64(uuid[:], uint64(timestamp.UnixMilli())<<16)
	copy(uuid[6:], random[:])
	uuid[6] = uuid[6]&0x0f | uuidVersion<<4
	uuid[8] = uuid[8]&0x3f | 0x80
	return uuid
}

// String returns the text form in lower case.
func (uuid UUID) String() string {
	text := hex.EncodeToString(uuid[:])
	return strings.Join([]string{text[:8], text[8:12], text[12:16], text[16:20], text[20:]}, "-")
}

// valid reports whether the version and variant bits are those of version 7.
func (uuid UUID) valid() bool {
	return uuid[6]>>4 == uuidVersion && uuid[8]>>6 == 2
}

// unixMilli returns the time of the UUID in Unix milliseconds.
func (uuid UUID) unixMilli() int64 {
	return int64(binary.BigEndian.Uint64(uuid[:]) >> 16)
}
