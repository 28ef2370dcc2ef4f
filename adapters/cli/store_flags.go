package cli

import (
	"cmp"
	"os"

	"github.com/integrii/flaggy"

	"greengagespoke/adapters/platformhttp"
	"greengagespoke/adapters/settings"
	"greengagespoke/adapters/strictyaml"
	"greengagespoke/domain"
	"greengagespoke/entry"
	"greengagespoke/tables"
)

// storeFlags are the flags that locate the platform.
type storeFlags struct {
	settingsFile string
	platform     string
	hostList     string
	tokenFile    string
}

const storeFlagsHelp = `The platform's services are those of a settings file, or the given URLs.`

func (f *storeFlags) define(sc *flaggy.Subcommand) {
	sc.String(&f.settingsFile, "", "settings", "settings file of any host, for the platform's services")
	sc.String(&f.platform, "", "platform", "URL of the table service, such as http://10.0.0.9:7300")
	sc.String(&f.hostList, "", "host-list", "URL of the host list, such as http://10.0.0.9:7300/hosts")
	sc.String(&f.tokenFile, "", "platform-token-file", "file with the token for the platform")
}

// storeAccess holds the platform's addresses and settings according to the flags.
type storeAccess struct {
	config platformhttp.Config
	// settings is the content of the settings file, or nil if none was given.
	settings *settings.Settings
	// callersTLS reports whether hosts are known to use TLS for callers.
	callersTLS bool
}

// access evaluates the flags. URLs that they do not name stay empty.
func (f *storeFlags) access() (storeAccess, error) {
	var a storeAccess
	for flag, value := range map[string]string{"--platform": f.platform, "--host-list": f.hostList} {
		if value != "" && !settings.IsServiceURL(value) {
			return a, usageError("%s: %q is not a URL with an IP number and a port, such as http://10.0.0.9:7300", flag, value)
		}
	}
	if f.settingsFile != "" {
		s, err := settings.Load(f.settingsFile)
		if err != nil {
			return a, err
		}
		a.settings = s
		a.config = entry.PlatformConfig(s)
		a.callersTLS = s.Listen.Callers.TLS != nil
	}
	if f.platform != "" {
		a.config.TablesURL = f.platform
	}
	if f.hostList != "" {
		a.config.HostsURL = f.hostList
	}
	if f.tokenFile != "" {
		token, err := strictyaml.ReadFile(f.tokenFile)
		if err != nil {
			return a, err
		}
		a.config.Token = oneLine(string(token))
	}
	return a, nil
}

// client returns a client of the named services. As the client requires a URL for
// every service, the others get the URL of a named one.
func (a storeAccess) client() (*platformhttp.Client, error) {
	config := a.config
	config.TablesURL = cmp.Or(config.TablesURL, config.HostsURL)
	config.HostsURL = cmp.Or(config.HostsURL, config.TablesURL)
	config.ObjectsURL = cmp.Or(config.ObjectsURL, config.TablesURL)
	config.Bucket = cmp.Or(config.Bucket, settings.Default().Platform.Bucket)
	return platformhttp.New(config)
}

// editor returns an editor of the two tables.
func (f *storeFlags) editor() (*tables.Editor, error) {
	access, err := f.access()
	if err != nil {
		return nil, err
	}
	if access.config.TablesURL == "" {
		return nil, usageError("--settings or --platform is missing; say where the table service is")
	}
	client, err := access.client()
	if err != nil {
		return nil, err
	}
	return tables.NewEditor(tables.EditorConfig{Store: client.Tables()}), nil
}

// editorVariable is the environment variable that names the operator.
const editorVariable = "USER"

// editFlags are the flags that identify the operator and the edit.
type editFlags struct {
	editor string
	editID string
	dryRun bool
}

const editFlagsHelp = `Repeat a command whose outcome is unknown with the same --edit-id: a change that
was accepted is found and not made again.`

func (f *editFlags) define(sc *flaggy.Subcommand) {
	f.editor = os.Getenv(editorVariable)
	sc.String(&f.editor, "", "editor", "who makes the change, for the audit trail")
	sc.String(&f.editID, "", "edit-id", "name of the change (default: a random one)")
	sc.Bool(&f.dryRun, "", "dry-run", "print the changes and make none")
}

func (f *editFlags) check() error {
	if f.editor == "" {
		return usageError("--editor is missing; say who makes the change")
	}
	return nil
}

// checkTable returns an error if name is not the name of a table.
func checkTable(name string) error {
	switch domain.TableName(name) {
	case domain.TableRoutes, domain.TablePools:
		return nil
	default:
		return usageError("%q is not a table; write routes or pools", name)
	}
}
