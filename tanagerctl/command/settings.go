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

// SettingsFormat is the version of the settings file's format that this program
// reads.
const SettingsFormat = 1

// settingsEnvVar is the environment variable with the path of the settings file, for
// calls without the flag --settings.
const settingsEnvVar = "TANAGERCTL_SETTINGS"

// operatorTokenEnvVar is the environment variable with the operator token, for
// operators who don't store it in the settings file. There is no flag for the token,
// because other users of the same host can read a command line.
const operatorTokenEnvVar = "TANAGERCTL_OPERATOR_TOKEN"

// Settings is the content of the settings file of tanagerctl. Flags and environment
// variables take precedence over it.
type Settings struct {
	// Format is the version of the file's format and equals SettingsFormat.
	Format int `yaml:"format"`
	// PlatformURL is the base URL of the platform.
	PlatformURL string `yaml:"platform-url"`
	// PlanStream is the name of the stream that holds the plan.
	PlanStream string `yaml:"plan-stream"`
	// OperatorAddresses lists the operator addresses of all entry VMs as IP:port.
	OperatorAddresses []string `yaml:"operator-addresses"`
	// OperatorToken is the bearer token that entry VMs require from operators.
	OperatorToken string `yaml:"operator-token"`
	// CA is the path of a PEM file with the authority of the entry VMs'
	// certificates, relative to the settings file. If it is empty, the VMs are
	// called without TLS.
	CA string `yaml:"ca"`
	// Catalogue is the path of the file with the kinds and failure domains,
	// relative to the settings file.
	Catalogue string `yaml:"catalogue"`
	// Author is the operator's name in publications. The default is the value
	// of the environment variable USER.
	Author string `yaml:"author"`
}

func defaultSettings() Settings {
	return Settings{
		Format:     SettingsFormat,
		PlanStream: "plan",
		Author:     os.Getenv("USER"),
	}
}

// Validate returns the first fault of the settings file, or nil. Values that only
// some commands need are checked by these commands.
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

// loadSettings reads the settings file, if there is one, and applies the flags and
// environment variables. Paths in the file become relative to the working directory
// or absolute.
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

// checkPlatformURL returns an error that wraps errUsage unless the URL of the
// platform is set and valid.
func (settings *Settings) checkPlatformURL() error {
	parsedURL, err := url.Parse(settings.PlatformURL)
	if err != nil || parsedURL.Host == "" {
		return eris.Wrapf(errUsage, "--platform-url or platform-url in the settings: %q is not a URL", settings.PlatformURL)
	}
	return nil
}

// loadCatalogue reads the catalogue. The error wraps errUsage if no file is named.
func (settings *Settings) loadCatalogue() (sheet.Catalogue, error) {
	if settings.Catalogue == "" {
		return sheet.Catalogue{}, eris.Wrap(errUsage, "--catalogue or catalogue in the settings is missing")
	}
	return settingsfile.Load(settings.Catalogue, sheet.Catalogue{})
}
