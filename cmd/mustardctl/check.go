package main

import (
	"context"
	"fmt"
	"os"
	"strings"

	"github.com/urfave/cli/v3"

	"mustardlever.dev/mustardlever/configurer"
	"mustardlever.dev/mustardlever/platform"
)

func checkCommand() *cli.Command {
	return &cli.Command{
		Name: "check", Usage: "check settings and configuration files; errors are reported with file, line and column",
		Description: "Give one of --settings, --platform-configuration and --base. With --base, " +
			"--output json prints the merged configuration.",
		Flags: []cli.Flag{
			jsonFlag(),
			&cli.StringFlag{Name: "settings", Usage: "settings `FILE` of a process; the configuration that it names is checked too"},
			&cli.StringFlag{Name: "platform-configuration", Usage: "`FILE` with a configuration as the platform's operators write it to the store"},
			&cli.StringFlag{Name: "base", Usage: "base `FILE`"},
			&cli.StringFlag{Name: "overlay", Usage: "overlay `FILE` of a site, with --base"},
		},
		Action: check,
	}
}

func check(_ context.Context, c *cli.Command) error {
	var result any
	var summary string
	var err error
	switch settings, platformConfiguration, base := c.String("settings"), c.String("platform-configuration"), c.String("base"); {
	case settings != "" && platformConfiguration == "" && base == "":
		result, summary, err = checkSettings(settings)
	case platformConfiguration != "" && settings == "" && base == "":
		result, summary, err = checkPlatformConfiguration(platformConfiguration)
	case base != "" && settings == "" && platformConfiguration == "":
		result, summary, err = checkFiles(configurer.Files{Base: base, Overlay: c.String("overlay")})
	default:
		return cli.Exit("give one of --settings, --platform-configuration and --base", exitUsage)
	}
	if err != nil {
		return withExitCode(err, exitUsage)
	}
	if wantsJSON(c) {
		return printJSON(result)
	}
	fmt.Println(summary)
	return nil
}

func checkSettings(path string) (any, string, error) {
	p, err := configurer.ReadProcess(path)
	if err != nil {
		return nil, "", err
	}
	if p.Platform == nil {
		if _, err := configurer.ReadConfiguration(p.Configuration); err != nil {
			return nil, "", err
		}
	}
	p.TicketKey = "" // secret; must not be printed
	return p, fmt.Sprintf("%s: %s %s in %s, no errors", path, p.Role, p.Name, p.Zone), nil
}

func checkPlatformConfiguration(path string) (any, string, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, "", err
	}
	table, err := platform.CheckTable(path, text)
	if err != nil {
		return nil, "", err
	}
	routes := table.Routes()
	return routes, fmt.Sprintf("%s: version %d, %d routes, no errors", path, table.Version, len(routes)), nil
}

func checkFiles(files configurer.Files) (any, string, error) {
	merged, err := configurer.ReadConfiguration(files)
	if err != nil {
		return nil, "", err
	}
	return merged, fmt.Sprintf("site %s: zones %s, %d services, no errors", merged.Site, strings.Join(merged.Zones, ", "), len(merged.Services)), nil
}
