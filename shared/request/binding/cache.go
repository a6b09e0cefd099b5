package binding

import (
	"time"

	"tanagerfall/shared/request/submission"
)

const millisecondsPerSecond = 1000

// cache holds the bindings read. Teams and issuers are numbered, because many
// bindings share few of them.
type cache struct {
	bound   map[cacheKey]cacheValue
	teams   map[string]uint32
	issuers map[issuer]uint32
	named   []issuer
	// seconds lists the keys by the Unix second of their UUID.
	seconds map[int64][]cacheKey
	// floor is the Unix second below which nothing is held.
	floor int64
}

type cacheKey struct {
	team uint32
	uuid UUID
}

type cacheValue struct {
	key    submission.Key
	issuer uint32
	expiry uint32
}

type issuer struct {
	domain  string
	address string
}

func newCache() cache {
	return cache{
		bound:   make(map[cacheKey]cacheValue),
		teams:   make(map[string]uint32),
		issuers: make(map[issuer]uint32),
		seconds: make(map[int64][]cacheKey),
	}
}

func (cache *cache) get(key Key) (submission.ID, bool) {
	team, known := cache.teams[key.Team]
	if !known {
		return submission.ID{}, false
	}
	wanted := cacheKey{
		team: team,
		uuid: key.UUID,
	}
	value, bound := cache.bound[wanted]
	if !bound {
		return submission.ID{}, false
	}
	from := cache.named[value.issuer]
	return submission.ID{
		Key:     value.key,
		Domain:  from.domain,
		Address: from.address,
		Team:    key.Team,
		Expiry:  time.Unix(int64(value.expiry), 0),
	}, true
}

// add keeps the first ID of a key; later ones have lost.
func (cache *cache) add(key Key, id submission.ID) {
	team, known := cache.teams[key.Team]
	if !known {
		team = uint32(len(cache.teams))
		cache.teams[key.Team] = team
	}
	compact := cacheKey{
		team: team,
		uuid: key.UUID,
	}
	if _, bound := cache.bound[compact]; bound {
		return
	}
	cache.bound[compact] = cacheValue{
		key:    id.Key,
		issuer: cache.issuer(id),
		expiry: uint32(id.Expiry.Unix()),
	}
	second := key.UUID.milliseconds() / millisecondsPerSecond
	cache.seconds[second] = append(cache.seconds[second], compact)
}

func (cache *cache) issuer(id submission.ID) uint32 {
	from := issuer{
		domain:  id.Domain,
		address: id.Address,
	}
	number, known := cache.issuers[from]
	if !known {
		number = uint32(len(cache.named))
		cache.issuers[from] = number
		cache.named = append(cache.named, from)
	}
	return number
}

// raise forgets the keys of seconds below floor.
func (cache *cache) raise(floor int64) {
	if floor-cache.floor > int64(len(cache.seconds)) {
		for second := range cache.seconds {
			if second < floor {
				cache.forget(second)
			}
		}
	} else {
		for second := cache.floor; second < floor; second++ {
			cache.forget(second)
		}
	}
	cache.floor = max(cache.floor, floor)
}

func (cache *cache) forget(second int64) {
	for _, key := range cache.seconds[second] {
		delete(cache.bound, key)
	}
	delete(cache.seconds, second)
}

// oldest returns the lowest second that has keys; there must be one.
func (cache *cache) oldest() int64 {
	first := true
	oldest := int64(0)
	for second := range cache.seconds {
		if first || second < oldest {
			oldest = second
			first = false
		}
	}
	return oldest
}
