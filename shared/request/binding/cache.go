package binding

import (
	"time"

	"tanagerfall/shared/request/submission"
)

const millisecondsPerSecond = 1000

// cache holds the bindings read from the log. Keys and values refer to teams
// and issuers by number to save memory, because many bindings share a few of
// them.
type cache struct {
	bindings map[cacheKey]cacheValue
	teams    map[string]uint32
	issuers  map[issuer]uint32
	// issuersByNumber lists the issuers by their number.
	issuersByNumber []issuer
	// keysBySecond lists the keys by the Unix second of their UUID.
	keysBySecond map[int64][]cacheKey
	// floor is the Unix second below which no binding is kept.
	floor int64
}

// cacheKey is a Key with the number of its team.
type cacheKey struct {
	team uint32
	uuid UUID
}

// cacheValue is a submission ID with the number of its issuer and its expiry in
// Unix seconds.
type cacheValue struct {
	key    submission.Key
	issuer uint32
	expiry uint32
}

// issuer is the failure domain and the peer address of an issuing VM.
type issuer struct {
	domain  string
	address string
}

func newCache() cache {
	return cache{
		bindings:     make(map[cacheKey]cacheValue),
		teams:        make(map[string]uint32),
		issuers:      make(map[issuer]uint32),
		keysBySecond: make(map[int64][]cacheKey),
	}
}

// get returns the ID that a key is bound to.
func (cache *cache) get(key Key) (submission.ID, bool) {
	team, known := cache.teams[key.Team]
	if !known {
		return submission.ID{}, false
	}
	compactKey := cacheKey{
		team: team,
		uuid: key.UUID,
	}
	value, bound := cache.bindings[compactKey]
	if !bound {
		return submission.ID{}, false
	}
	issuedBy := cache.issuersByNumber[value.issuer]
	return submission.ID{
		Key:     value.key,
		Domain:  issuedBy.domain,
		Address: issuedBy.address,
		Team:    key.Team,
		Expiry:  time.Unix(int64(value.expiry), 0),
	}, true
}

// add binds a key to an ID unless the key is already bound: the first binding
// in the stream wins.
func (cache *cache) add(key Key, id submission.ID) {
	team, known := cache.teams[key.Team]
	if !known {
		team = uint32(len(cache.teams))
		cache.teams[key.Team] = team
	}
	compactKey := cacheKey{
		team: team,
		uuid: key.UUID,
	}
	if _, bound := cache.bindings[compactKey]; bound {
		return
	}
	cache.bindings[compactKey] = cacheValue{
		key:    id.Key,
		issuer: cache.issuerNumber(id),
		expiry: uint32(id.Expiry.Unix()),
	}
	second := key.UUID.unixMilli() / millisecondsPerSecond
	cache.keysBySecond[second] = append(cache.keysBySecond[second], compactKey)
}

// issuerNumber returns the number of the VM that issued id and assigns one if
// the VM is new.
func (cache *cache) issuerNumber(id submission.ID) uint32 {
	issuedBy := issuer{
		domain:  id.Domain,
		address: id.Address,
	}
	number, known := cache.issuers[issuedBy]
	if !known {
		number = uint32(len(cache.issuersByNumber))
		cache.issuers[issuedBy] = number
		cache.issuersByNumber = append(cache.issuersByNumber, issuedBy)
	}
	return number
}

// evictBelow evicts the bindings of keys whose time is below the Unix second
// floor. It iterates over whichever is fewer, the seconds up to floor or those
// that have keys.
func (cache *cache) evictBelow(floor int64) {
	if floor-cache.floor > int64(len(cache.keysBySecond)) {
		for second := range cache.keysBySecond {
			if second < floor {
				cache.evictSecond(second)
			}
		}
	} else {
		for second := cache.floor; second < floor; second++ {
			cache.evictSecond(second)
		}
	}
	cache.floor = max(cache.floor, floor)
}

func (cache *cache) evictSecond(second int64) {
	for _, key := range cache.keysBySecond[second] {
		delete(cache.bindings, key)
	}
	delete(cache.keysBySecond, second)
}

// oldestSecond returns the lowest second that has keys; there must be one.
func (cache *cache) oldestSecond() int64 {
	first := true
	oldest := int64(0)
	for second := range cache.keysBySecond {
		if first || second < oldest {
			oldest = second
			first = false
		}
	}
	return oldest
}
