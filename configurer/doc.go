// Package configurer reads settings and configuration files: JSON with comments
// and trailing commas, with keys in kebab case.
//
// A process has settings (Process): its name, role, availability zone and
// addresses. A site has a configuration (Configuration): its services. The
// configuration is a base file merged with an overlay, which states only what
// differs, as a JSON merge patch (RFC 7396). On the users' platform the configuration
// is instead the document of routes in the platform's store, which Follower follows;
// see package router.
//
// All mistakes in a file are reported together, each with the file, line and
// column, the value found and the value expected.
package configurer
