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
		Name: "check", Usage: "check settings and configuration files; each mistake is told by file, line and column",
		Description: "Give one of --settings, --platform-configuration, or --base with or without --overlay, " +
			"which shows the merged configuration with --output json.",
		Flags: []cli.Flag{
			jsonFlag(),
			&cli.StringFlag{Name: "settings", Usage: "settings `FILE` of a process, with the configuration that it names"},
			&cli.StringFlag{Name: "platform-configuration", Usage: "`FILE` as the operators of the users' platform write it to the store"},
			&cli.StringFlag{Name: "base", Usage: "base `FILE`"},
			&cli.StringFlag{Name: "overlay", Usage: "overlay `FILE` of a site"},
		},
		Action: check,
	}
}

func check(_ context.Context, c *cli.Command) error {
	var checked any
	var summary string
	var err error
	switch settings, document, base := c.String("settings"), c.String("platform-configuration"), c.String("base"); {
	case settings != "" && document == "" && base == "":
		checked, summary, err = checkSettings(settings)
	case document != "" && settings == "" && base == "":
		checked, summary, err = checkDocument(document)
	case base != "" && settings == "" && document == "":
		checked, summary, err = checkFiles(configurer.Files{Base: base, Overlay: c.String("overlay")})
	default:
		return cli.Exit("give one of --settings, --platform-configuration and --base", exitUsage)
	}
	if err != nil {
		return fail(err, exitUsage)
	}
	if wantsJSON(c) {
		return printJSON(checked)
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
	p.TicketKey = "" // not to be shown
	return p, fmt.Sprintf("%s: %s %s in %s, no mistakes", path, p.Role, p.Name, p.Zone), nil
}

func checkDocument(path string) (any, string, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, "", err
	}
	t, err := platform.CheckTable(path, text)
	if err != nil {
		return nil, "", err
	}
	routes := t.Routes()
	return routes, fmt.Sprintf("%s: version %d, %d routes, no mistakes", path, t.Version, len(routes)), nil
}

func checkFiles(files configurer.Files) (any, string, error) {
	merged, err := configurer.ReadConfiguration(files)
	if err != nil {
		return nil, "", err
	}
	return merged, fmt.Sprintf("site %s: zones %s, %d services, no mistakes", merged.Site, strings.Join(merged.Zones, ", "), len(merged.Services)), nil
}
