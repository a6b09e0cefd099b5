package main

import (
	"encoding/base64"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"

	"github.com/goccy/go-yaml"
	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"tanagerfall/shared/process/settings"
	"tanagerfall/tanagerload/experiment"
)

// macSecret is the key with which the entry VMs of experiments sign submission
// IDs.
const macSecret = "load experiment, not for production"

// newSettingsCommand returns the command "settings".
func newSettingsCommand() *cobra.Command {
	command := &cobra.Command{
		Use:   "settings EXPERIMENT.yaml",
		Short: "Write the settings of an experiment's entry VMs",
		Long: "Write one settings file for each entry VM of an experiment's fleet, named entry-N.yaml.\n" +
			"The operators' port is the one after the callers' port.",
		Example: "  tanagerload settings tanagerload/experiments/kestane-load.yaml --directory run",
		Args:    cobra.ExactArgs(1),
	}
	directory := command.Flags().StringP("directory", "d", ".", "directory for the files")
	policy := command.Flags().String("policy", settings.DefaultEntry().Placement.Policy, "placement policy")
	command.RunE = func(_ *cobra.Command, arguments []string) error {
		spec, err := experiment.Load(arguments[0])
		if err != nil {
			return err
		}
		return writeSettings(&spec, *directory, *policy)
	}
	return command
}

// writeSettings writes one settings file for each entry VM to directory.
func writeSettings(spec *experiment.Experiment, directory, policy string) error {
	const directoryMode, fileMode = 0o755, 0o600
	if err := os.MkdirAll(directory, directoryMode); err != nil {
		return eris.Wrap(err, "create directory for settings")
	}
	for i, entry := range spec.Fleet.Entries {
		operatorAddress, err := nextPort(entry.CallerAddress)
		if err != nil {
			return err
		}
		entrySettings := settings.DefaultEntry()
		entrySettings.Format = settings.EntryFormat
		entrySettings.Domain = entry.Domain
		entrySettings.Size = max(entry.Size, 1)
		entrySettings.CallerAddress = entry.CallerAddress
		entrySettings.PeerAddress = entry.Address
		entrySettings.OperatorAddress = operatorAddress
		entrySettings.PlatformURL = "http://" + spec.Fleet.Platform.Address
		entrySettings.Placement.Policy = policy
		entrySettings.MacKeys = []settings.MacKey{{
			ID:     1,
			Secret: base64.StdEncoding.EncodeToString([]byte(macSecret)),
		}}
		data, err := yaml.Marshal(entrySettings)
		if err != nil {
			return eris.Wrap(err, "encode settings")
		}
		file := filepath.Join(directory, fmt.Sprintf("entry-%d.yaml", i+1))
		if err := os.WriteFile(file, data, fileMode); err != nil {
			return eris.Wrap(err, "write settings")
		}
		fmt.Println(file)
	}
	return nil
}

// nextPort returns the address with the port increased by one.
func nextPort(address string) (string, error) {
	host, portText, err := net.SplitHostPort(address)
	if err != nil {
		return "", eris.Wrap(err, "caller-address is not host:port")
	}
	port, err := strconv.Atoi(portText)
	if err != nil {
		return "", eris.Wrap(err, "port of caller-address is not a number")
	}
	return net.JoinHostPort(host, strconv.Itoa(port+1)), nil
}
