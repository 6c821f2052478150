// Package configurer reads settings and configuration: JSON with comments and
// trailing commas, with kebab-case names.
//
// A process has settings (Process): its name, role, zone and addresses. A site
// has a configuration (Configuration): its services, made of one base file and
// an overlay that states only what differs, merged by RFC 7396.
//
// Every mistake of a file is reported at once, each with file, line, column,
// what was found and what was expected.
package configurer
