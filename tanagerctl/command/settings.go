package command

import (
	"fmt"
	"net/url"
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"

	"tanagerfall/shared/process/settings"
	"tanagerfall/shared/version/sheet"
)

// SettingsFormat is the version of the format of Settings.
const SettingsFormat = 1

// settingsVariable names the settings file where --settings does not.
const settingsVariable = "TANAGERCTL_SETTINGS"

// tokenVariable holds the operator token where the settings should not. There
// is no flag, because other users of the machine can read a command line.
const tokenVariable = "TANAGERCTL_OPERATOR_TOKEN"

// Settings is the settings file of tanagerctl. Flags take precedence.
type Settings struct {
	Format      int    `yaml:"format"`
	PlatformURL string `yaml:"platform-url"`
	PlanStream  string `yaml:"plan-stream"`
	// OperatorAddresses lists the operator addresses of all entry VMs, IP:port.
	OperatorAddresses []string `yaml:"operator-addresses"`
	// OperatorToken is the bearer token that entry VMs ask operators for.
	OperatorToken string `yaml:"operator-token"`
	// CA is a PEM file with the authority of the entry VMs' certificates,
	// relative to the settings file. Without it they are called without TLS.
	CA string `yaml:"ca"`
	// Catalogue is the file of kinds and failure domains, relative to the
	// settings file.
	Catalogue string `yaml:"catalogue"`
	// Author is the operator's name in publications.
	Author string `yaml:"author"`
}

func defaultSettings() Settings {
	return Settings{
		Format:     SettingsFormat,
		PlanStream: "plan",
		Author:     os.Getenv("USER"),
	}
}

// Validate returns the first fault, or nil.
func (loaded *Settings) Validate() *settings.Fault {
	if loaded.Format != SettingsFormat {
		return &settings.Fault{
			Key:  "format",
			Text: fmt.Sprintf("is %d, this program reads %d", loaded.Format, SettingsFormat),
		}
	}
	if loaded.PlanStream == "" {
		return &settings.Fault{
			Key:  "plan-stream",
			Text: "is empty",
		}
	}
	return nil
}

// load reads the settings file, if there is one, and applies the flags.
func (flags *flags) load() (Settings, error) {
	loaded := defaultSettings()
	file := flags.settings
	if file == "" {
		file = os.Getenv(settingsVariable)
	}
	if file != "" {
		var err error
		loaded, err = settings.Load(file, loaded)
		if err != nil {
			return Settings{}, err
		}
		for _, path := range []*string{&loaded.Catalogue, &loaded.CA} {
			if *path != "" && !filepath.IsAbs(*path) {
				*path = filepath.Join(filepath.Dir(file), *path)
			}
		}
	}
	override(&loaded.PlatformURL, flags.platformURL)
	override(&loaded.PlanStream, flags.planStream)
	override(&loaded.Catalogue, flags.catalogue)
	override(&loaded.Author, flags.author)
	override(&loaded.CA, flags.ca)
	override(&loaded.OperatorToken, os.Getenv(tokenVariable))
	if len(flags.operatorAddresses) > 0 {
		loaded.OperatorAddresses = flags.operatorAddresses
	}
	return loaded, nil
}

func override(value *string, flag string) {
	if flag != "" {
		*value = flag
	}
}

func (loaded *Settings) checkPlatform() error {
	parsed, err := url.Parse(loaded.PlatformURL)
	if err != nil || parsed.Host == "" {
		return eris.Wrapf(errUsage, "--platform-url or platform-url in the settings: %q is not a URL", loaded.PlatformURL)
	}
	return nil
}

func (loaded *Settings) loadCatalogue() (sheet.Catalogue, error) {
	if loaded.Catalogue == "" {
		return sheet.Catalogue{}, eris.Wrap(errUsage, "--catalogue or catalogue in the settings is missing")
	}
	return settings.Load(loaded.Catalogue, sheet.Catalogue{})
}
