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

// Settings is the settings file of tanagerctl. Flags take precedence.
type Settings struct {
	Format      int    `yaml:"format"`
	PlatformURL string `yaml:"platform-url"`
	PlanStream  string `yaml:"plan-stream"`
	// OperatorAddresses lists the operator addresses of all entry VMs, IP:port.
	OperatorAddresses []string `yaml:"operator-addresses"`
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
		if loaded.Catalogue != "" && !filepath.IsAbs(loaded.Catalogue) {
			loaded.Catalogue = filepath.Join(filepath.Dir(file), loaded.Catalogue)
		}
	}
	override(&loaded.PlatformURL, flags.platformURL)
	override(&loaded.PlanStream, flags.planStream)
	override(&loaded.Catalogue, flags.catalogue)
	override(&loaded.Author, flags.author)
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
