package settings

import (
	"encoding/base64"
	"fmt"
	"net"
	"net/url"
	"strconv"

	"github.com/charmbracelet/log"

	"tanagerfall/shared/request/placement"
	"tanagerfall/shared/request/submission"
)

// EntryFormat is the value of the key "format" that this version reads.
const EntryFormat = 1

const (
	minSecretBytes        = 16
	defaultAnswerMemoryMb = 64
	maxAnswerMemoryMb     = 128
	defaultTheta          = 1.3
)

// Entry holds the settings of the process of an entry VM.
type Entry struct {
	// Format must be EntryFormat.
	Format int `yaml:"format"`
	// Domain is the failure domain of the VM.
	Domain string `yaml:"failure-domain"`
	// Size is the relative size of the VM, its weight when the slots of upstreams
	// are divided among entry VMs. It is above 0.
	Size float64 `yaml:"size"`
	// CallerAddress, PeerAddress and OperatorAddress are the addresses on which the
	// process serves callers, other entry VMs and operators. They have the form
	// IP:port and must differ.
	CallerAddress   string `yaml:"caller-address"`
	PeerAddress     string `yaml:"peer-address"`
	OperatorAddress string `yaml:"operator-address"`
	// PlatformURL is the http or https URL of the platform.
	PlatformURL string `yaml:"platform-url"`
	// PlanStream is the name of the log stream of the plan.
	PlanStream string `yaml:"plan-stream"`
	// KeyStream is the name of the log stream of idempotency keys.
	KeyStream string `yaml:"key-stream"`
	// Peers lists the addresses of peers from which the plan and the fleet are
	// requested while the platform can't be reached.
	Peers []string `yaml:"peers"`
	// MacKeys lists the keys that authenticate submission IDs. The first one signs
	// new IDs, and all of them are accepted when an ID is verified.
	MacKeys []MacKey `yaml:"mac-keys"`
	// TLS is required unless all addresses are on loopback.
	TLS TLS `yaml:"tls"`
	// OperatorToken is the bearer token of operators. It is required unless the
	// operator address is on loopback.
	OperatorToken string `yaml:"operator-token"`
	// AnswerMemoryMb is the maximum memory, in MiB, for the answers that are kept
	// for repeated submissions.
	AnswerMemoryMb int `yaml:"answer-memory-mb"`
	// LogLevel is debug, info, warn or error.
	LogLevel string `yaml:"log-level"`
	// Placement selects the policy by which tasks are placed on upstreams.
	Placement Placement `yaml:"placement"`
}

// TLS holds the paths of PEM files. The certificate is presented to callers,
// operators and other entry VMs. Entry VMs verify each other's certificates against
// the authorities in CA.
type TLS struct {
	Certificate string `yaml:"certificate"`
	Key         string `yaml:"key"`
	CA          string `yaml:"ca"`
}

// Enabled reports whether TLS is configured.
func (tls TLS) Enabled() bool { return tls != TLS{} }

// MacKey is a key that authenticates submission IDs.
type MacKey struct {
	// ID identifies the key, from 0 to 255.
	ID int `yaml:"id"`
	// Secret is the key in base64, at least 16 bytes when decoded.
	Secret string `yaml:"secret"`
}

// Placement selects the placement policy.
type Placement struct {
	// Policy is target, greedy, random, round-robin, least-loaded or two-choices.
	Policy string `yaml:"policy"`
	// Theta is the finish time that the target policy aims for, as a multiple of
	// the ideal. It is at least 1.
	Theta float64 `yaml:"theta"`
}

// DefaultEntry returns settings with the default values of the keys that a file may
// omit.
func DefaultEntry() Entry {
	return Entry{
		Size:           1,
		PlanStream:     "plan",
		KeyStream:      "idempotency-keys",
		AnswerMemoryMb: defaultAnswerMemoryMb,
		LogLevel:       "info",
		Placement: Placement{
			Policy: "target",
			Theta:  defaultTheta,
		},
	}
}

// Validate returns the first fault, or nil if all values are valid.
func (entry *Entry) Validate() *Fault {
	checks := []func() *Fault{
		entry.checkFormat,
		entry.checkDomainAndSize,
		entry.checkAddresses,
		entry.checkPlatform,
		entry.checkMacKeys,
		entry.checkTLS,
		entry.checkOptionalKeys,
	}
	for _, check := range checks {
		if fault := check(); fault != nil {
			return fault
		}
	}
	return nil
}

func (entry *Entry) checkFormat() *Fault {
	if entry.Format != EntryFormat {
		return newFault("format", "is %d, this program reads %d", entry.Format, EntryFormat)
	}
	return nil
}

func (entry *Entry) checkDomainAndSize() *Fault {
	if entry.Domain == "" {
		return newFault("failure-domain", "is missing")
	}
	if entry.Size <= 0 {
		return newFault("size", "is %g, must be above 0", entry.Size)
	}
	return nil
}

func (entry *Entry) checkAddresses() *Fault {
	seen := make(map[string]string)
	for _, configuredAddress := range entry.addresses() {
		if fault := checkAddress(configuredAddress.key, configuredAddress.address); fault != nil {
			return fault
		}
		if other, isDuplicate := seen[configuredAddress.address]; isDuplicate {
			return newFault(configuredAddress.key, "%s is also the %s", configuredAddress.address, other)
		}
		seen[configuredAddress.address] = configuredAddress.key
	}
	for i, peer := range entry.Peers {
		if fault := checkAddress(fmt.Sprintf("peers[%d]", i), peer); fault != nil {
			return fault
		}
	}
	return nil
}

// configuredAddress is an address in the settings and its key.
type configuredAddress struct {
	key     string
	address string
}

func (entry *Entry) addresses() []configuredAddress {
	return []configuredAddress{
		{
			key:     "caller-address",
			address: entry.CallerAddress,
		},
		{
			key:     "peer-address",
			address: entry.PeerAddress,
		},
		{
			key:     "operator-address",
			address: entry.OperatorAddress,
		},
	}
}

func checkAddress(key, address string) *Fault {
	if address == "" {
		return newFault(key, "is missing")
	}
	host, port, err := net.SplitHostPort(address)
	if err != nil || net.ParseIP(host) == nil {
		return newFault(key, "%q is not IP:port", address)
	}
	number, err := strconv.Atoi(port)
	if err != nil || number < 1 || number > 65535 {
		return newFault(key, "%q has no port from 1 to 65535", address)
	}
	return nil
}

func (entry *Entry) checkPlatform() *Fault {
	parsed, err := url.Parse(entry.PlatformURL)
	if err != nil || parsed.Host == "" || (parsed.Scheme != "http" && parsed.Scheme != "https") {
		return newFault("platform-url", "%q is not an http or https URL", entry.PlatformURL)
	}
	if entry.PlanStream == "" {
		return newFault("plan-stream", "is empty")
	}
	if entry.KeyStream == "" {
		return newFault("key-stream", "is empty")
	}
	return nil
}

func (entry *Entry) checkMacKeys() *Fault {
	if len(entry.MacKeys) == 0 {
		return newFault("mac-keys", "is missing; at least one key is needed")
	}
	for i, key := range entry.MacKeys {
		name := fmt.Sprintf("mac-keys[%d]", i)
		if key.ID < 0 || key.ID > 255 {
			return newFault(name+".id", "is %d, allowed are 0 to 255", key.ID)
		}
		secret, err := base64.StdEncoding.DecodeString(key.Secret)
		if err != nil {
			return newFault(name+".secret", "is not base64")
		}
		if len(secret) < minSecretBytes {
			return newFault(name+".secret", "has %d bytes, at least %d are needed", len(secret), minSecretBytes)
		}
	}
	return nil
}

func (entry *Entry) checkTLS() *Fault {
	for _, configuredAddress := range entry.addresses() {
		if !entry.TLS.Enabled() && !onLoopback(configuredAddress.address) {
			return newFault("tls", "is missing; the %s %s is not on loopback", configuredAddress.key, configuredAddress.address)
		}
	}
	if entry.OperatorToken == "" && !onLoopback(entry.OperatorAddress) {
		return newFault("operator-token", "is missing; the operator-address is not on loopback")
	}
	if entry.OperatorToken != "" && len(entry.OperatorToken) < minSecretBytes {
		return newFault("operator-token", "has %d bytes, at least %d are needed", len(entry.OperatorToken), minSecretBytes)
	}
	if !entry.TLS.Enabled() {
		return nil
	}
	files := []struct{ key, path string }{
		{
			key:  "tls.certificate",
			path: entry.TLS.Certificate,
		},
		{
			key:  "tls.key",
			path: entry.TLS.Key,
		},
		{
			key:  "tls.ca",
			path: entry.TLS.CA,
		},
	}
	for _, file := range files {
		if file.path == "" {
			return newFault(file.key, "is missing")
		}
	}
	return nil
}

func onLoopback(address string) bool {
	host, _, err := net.SplitHostPort(address)
	return err == nil && net.ParseIP(host).IsLoopback()
}

// checkOptionalKeys checks the settings of the answer memory, the log and the
// placement.
func (entry *Entry) checkOptionalKeys() *Fault {
	if entry.AnswerMemoryMb < 1 || entry.AnswerMemoryMb > maxAnswerMemoryMb {
		return newFault("answer-memory-mb", "is %d, allowed are 1 to %d", entry.AnswerMemoryMb, maxAnswerMemoryMb)
	}
	if _, err := log.ParseLevel(entry.LogLevel); err != nil {
		return newFault("log-level", "%q is not debug, info, warn or error", entry.LogLevel)
	}
	if _, known := entry.Placement.policy(); !known {
		return newFault("placement.policy", "%q is unknown", entry.Placement.Policy)
	}
	if entry.Placement.Theta < 1 {
		return newFault("placement.theta", "is %g, must be at least 1", entry.Placement.Theta)
	}
	return nil
}

// Keyring returns the keyring of the MAC keys. The settings must be valid.
func (entry *Entry) Keyring() *submission.Keyring {
	keys := make([]submission.MacKey, 0, len(entry.MacKeys))
	for _, key := range entry.MacKeys {
		secret, _ := base64.StdEncoding.DecodeString(key.Secret)
		keys = append(keys, submission.MacKey{
			ID:     uint8(key.ID),
			Secret: secret,
		})
	}
	return submission.NewKeyring(keys...)
}

// PlacementPolicy returns the selected placement policy. The settings must be
// valid.
func (entry *Entry) PlacementPolicy() placement.Policy {
	policy, _ := entry.Placement.policy()
	return policy
}

func (placementSettings Placement) policy() (placement.Policy, bool) {
	const viewAgeMs = 100
	switch placementSettings.Policy {
	case "target":
		return placement.Target{
			Theta: placementSettings.Theta,
		}, true
	case "greedy":
		return placement.Greedy{}, true
	case "random":
		return placement.Random{}, true
	case "round-robin":
		return placement.RoundRobin{}, true
	case "least-loaded":
		return placement.LeastLoaded{
			ViewAgeMs: viewAgeMs,
		}, true
	case "two-choices":
		return placement.TwoChoices{}, true
	}
	return nil, false
}

// newFault returns a Fault with a formatted text.
func newFault(key, format string, values ...any) *Fault {
	return &Fault{
		Key:  key,
		Text: fmt.Sprintf(format, values...),
	}
}
