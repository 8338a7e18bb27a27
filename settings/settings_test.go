// SPDX-License-Identifier: Apache-2.0

package settings

import (
	"errors"
	"flag"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

func parse(env map[string]string, args ...string) (Daemon, error) {
	return Parse(args, func(k string) string { return env[k] }, io.Discard)
}

func secret(t *testing.T, content string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "secret")
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestEveryMistakeIsListed(t *testing.T) {
	is := is.New(t)
	_, err := parse(map[string]string{"BADGERSPOKE_GRACE": "soon"},
		"-role", "router,king", "-name", "no spaces", "-listen-callers", "here", "-control", "a=1.2.3.4:5,a=x",
		"-fleet-key-file", secret(t, "short\n"), "-log-format", "xml", "-lease", "1h", "-overcommit", "2", "-tls-cert-file", "c.pem", "rest")
	var invalid Invalid
	is.True(errors.As(err, &invalid))
	for _, want := range []string{
		"BADGERSPOKE_GRACE: ", `unexpected argument "rest"`, `-role: "king"`, "-listen-callers: must be IP:PORT",
		"-name: must be", `-control: lists "a" twice`, `-control: must be IP:PORT, not "x"`,
		"-fleet-key-file: the key is shorter than 16 bytes", "-log-format: must be one of text, json", "-lease: must be between",
		"-overcommit: must be between", "give all three or none",
	} {
		is.True(strings.Contains(err.Error(), want)) // the error lists this mistake
	}
}

func TestFlagOverridesEnvironment(t *testing.T) {
	is := is.New(t)
	env := map[string]string{
		"BADGERSPOKE_ROLE": "router", "BADGERSPOKE_NAME": "from-env", "BADGERSPOKE_CONTROL": "c1=10.0.0.1:8082",
		"BADGERSPOKE_FLEET_KEY_FILE": secret(t, "  a key of enough bytes\n"), "BADGERSPOKE_WAIT": "5s",
	}
	d, err := parse(env, "-name", "from-flag")
	is.NoErr(err)
	is.Equal(d.Name, "from-flag")
	is.Equal(d.Wait, 5*time.Second)
	is.Equal(string(d.FleetKey), "a key of enough bytes")
	is.True(d.Has(Router) && !d.Has(Control))
}

func TestControlRoleRequirements(t *testing.T) {
	is := is.New(t)
	key := secret(t, "a key of enough bytes")
	_, err := parse(nil, "-role", "control", "-name", "c9", "-control", "c1=10.0.0.1:8082", "-fleet-key-file", key)
	for _, want := range []string{"-data-dir: is missing", "-operator-token-file: is missing", `-control: does not list this box, "c9"`} {
		is.True(strings.Contains(err.Error(), want))
	}
	_, err = parse(nil, "-role", "control", "-name", "c1", "-control", "c1=10.0.0.1:8082", "-fleet-key-file", key,
		"-data-dir", "d", "-operator-token-file", secret(t, "token"))
	is.NoErr(err)
}

func TestDevRequiresNoSettings(t *testing.T) {
	is := is.New(t)
	_, err := parse(nil, "-dev")
	is.NoErr(err)
	_, err = parse(nil, "-h")
	is.True(errors.Is(err, flag.ErrHelp))
}

// TestDevRefusesUnusedSettings checks that -dev refuses settings that it would otherwise ignore.
func TestDevRefusesUnusedSettings(t *testing.T) {
	is := is.New(t)
	for _, name := range []string{"-operator-token-file", "-fleet-key-file"} {
		_, err := parse(nil, "-dev", name, secret(t, "a key of enough bytes\n"))
		is.True(errors.As(err, new(Invalid)))
		is.True(strings.Contains(err.Error(), name)) // the error names the flag
	}
}
