package command

import (
	"fmt"
	"net/url"
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"

	settingsfile "tanagerfall/shared/process/settings"
	"tanagerfall/shared/version/sheet"
)

// SettingsFormat is the version of the format of Settings.
const SettingsFormat = 1

// settingsEnvVar names the settings file where --settings does not.
const settingsEnvVar = "TANAGERCTL_SETTINGS"

// operatorTokenEnvVar holds the operator token where the settings should not. There
// is no flag, because other users of the machine can read a command line.
const operatorTokenEnvVar = "TANAGERCTL_OPERATOR_TOKEN"

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
func (settings *Settings) Validate() *settingsfile.Fault {
	if settings.Format != SettingsFormat {
		return &settingsfile.Fault{
			Key:  "format",
			Text: fmt.Sprintf("is %d, this program reads %d", settings.Format, SettingsFormat),
		}
	}
	if settings.PlanStream == "" {
		return &settingsfile.Fault{
			Key:  "plan-stream",
			Text: "is empty",
		}
	}
	return nil
}

// loadSettings reads the settings file, if there is one, and applies the flags.
func (flags *flags) loadSettings() (Settings, error) {
	settings := defaultSettings()
	file := flags.settings
	if file == "" {
		file = os.Getenv(settingsEnvVar)
	}
	if file != "" {
		var err error
		settings, err = settingsfile.Load(file, settings)
		if err != nil {
			return Settings{}, err
		}
		for _, path := range []*string{&settings.Catalogue, &settings.CA} {
			if *path != "" && !filepath.IsAbs(*path) {
				*path = filepath.Join(filepath.Dir(file), *path)
			}
		}
	}
	setIfNotEmpty(&settings.PlatformURL, flags.platformURL)
	setIfNotEmpty(&settings.PlanStream, flags.planStream)
	setIfNotEmpty(&settings.Catalogue, flags.catalogue)
	setIfNotEmpty(&settings.Author, flags.author)
	setIfNotEmpty(&settings.CA, flags.ca)
	setIfNotEmpty(&settings.OperatorToken, os.Getenv(operatorTokenEnvVar))
	if len(flags.operatorAddresses) > 0 {
		settings.OperatorAddresses = flags.operatorAddresses
	}
	return settings, nil
}

func setIfNotEmpty(value *string, newValue string) {
	if newValue != "" {
		*value = newValue
	}
}

func (settings *Settings) checkPlatformURL() error {
	parsedURL, err := url.Parse(settings.PlatformURL)
	if err != nil || parsedURL.Host == "" {
		return eris.Wrapf(errUsage, "--platform-url or platform-url in the settings: %q is not a URL", settings.PlatformURL)
	}
	return nil
}

func (settings *Settings) loadCatalogue() (sheet.Catalogue, error) {
	if settings.Catalogue == "" {
		return sheet.Catalogue{}, eris.Wrap(errUsage, "--catalogue or catalogue in the settings is missing")
	}
	return settingsfile.Load(settings.Catalogue, sheet.Catalogue{})
}
