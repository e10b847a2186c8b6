// Package version reports the burlmill version, commit and toolchain of the running program.
package version

import (
	"fmt"
	"runtime/debug"
)

// Number is the version of the next release from this source tree.
const Number = "0.1.0"

// Keys of the build settings that the go command records.
const (
	revisionSetting = "vcs.revision"
	modifiedSetting = "vcs.modified"
)

// unknownRevision replaces the commit in a build without version control data.
const unknownRevision = "unknown"

// String returns the version, the commit and, if the binary contains build information, the Go
// version.
func String() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return fmt.Sprintf("burlmill %s (commit %s)", Number, unknownRevision)
	}
	return fmt.Sprintf("burlmill %s (commit %s, %s)", Number, commit(info), info.GoVersion)
}

// commit returns the revision that was built, marked if the working tree had local changes.
func commit(info *debug.BuildInfo) string {
	revision, suffix := unknownRevision, ""
	for _, setting := range info.Settings {
		switch {
		case setting.Key == revisionSetting:
			revision = setting.Value
		case setting.Key == modifiedSetting && setting.Value == "true":
			suffix = " with changes"
		}
	}
	return revision + suffix
}
