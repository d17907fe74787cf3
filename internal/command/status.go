package command

import (
	"context"
	"fmt"
	"strings"

	"github.com/google/subcommands"

	"github.com/lugspur/lugspur/internal/admin"
)

func newStatus(program *Program) subcommands.Command {
	return &verb{
		program:  program,
		name:     "status",
		synopsis: "show a node's state and its view of the other nodes",
		example:  "lugspur status -admin 10.1.0.1:7403",
		connects: true,
		run: func(ctx context.Context, arguments []string) error {
			return status(ctx, program, arguments)
		},
	}
}

func status(ctx context.Context, program *Program, arguments []string) error {
	if len(arguments) != 0 {
		return usageErrorf("status takes no arguments")
	}
	client, err := program.connection.client()
	if err != nil {
		return err
	}
	document, err := client.Status(ctx)
	if err != nil {
		return err
	}
	return printResult(program, document, func(t *table) { statusTables(t, document) })
}

func statusTables(t *table, status admin.Status) {
	node := status.Node
	t.row("NODE", "ZONE", "REGION", "READY", "STOPPING", "FLOOR", "IN-FLIGHT", "UPTIME-S", "VERSION")
	t.row(node.Name, node.Zone, node.Region, node.Ready, node.Stopping, node.ConfigurationFloor, node.InFlight, node.UptimeSeconds, node.Version)
	t.section("Store")
	t.row("REACHABLE", "SILENT-S", "LAST-ERROR")
	t.row(status.Store.Reachable, fmt.Sprintf("%.1f", status.Store.SilentSeconds), status.Store.LastError)
	t.section("Members")
	t.row("NODE", "ZONE", "REGION", "ADDRESS", "STATE", "FLOOR")
	for _, member := range status.Members {
		t.row(member.Name, member.Zone, member.Region, member.Address, member.State, member.ConfigurationFloor)
	}
	t.section("Services")
	t.row("SERVICE", "TARGETS", "SHED-LEVEL")
	for _, service := range status.Services {
		t.row(service.Name, service.Targets, service.ShedLevel)
	}
	t.section("Targets")
	t.row("TARGET", "SERVICE", "ZONE", "HOME", "LIMIT", "IN-FLIGHT", "QUEUED", "SHED-LEVEL", "DRAINING")
	for _, target := range status.Targets {
		t.row(target.Name, target.Service, target.Zone, target.Home, target.Limit, target.InFlight, target.Queued, target.ShedLevel, strings.Join(target.DrainSources, ","))
	}
	t.section("Homes")
	t.row("TARGET", "NODE")
	for _, home := range status.Homes {
		t.row(home.Target, home.Node)
	}
	printSection(t, "Not ready", node.Reasons)
	printSection(t, "Warnings", status.Warnings)
}

func printSection(t *table, title string, lines []string) {
	if len(lines) == 0 {
		return
	}
	t.section(title)
	for _, line := range lines {
		t.row(line)
	}
}
