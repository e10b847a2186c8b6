// Package version says which version of burlmill a program was built from.
package version

import (
	"fmt"
	"runtime/debug"
)

// Number is the released version that the source tree is on the way to.
const Number = "0.1.0"

// Names of the build settings that the go command records.
const (
	revisionSetting = "vcs.revision"
	modifiedSetting = "vcs.modified"
)

// unknownRevision stands for the commit of a build without version control data.
const unknownRevision = "unknown"

// String returns the version, the commit it was built from, and the toolchain.
func String() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return fmt.Sprintf("burlmill %s (commit %s)", Number, unknownRevision)
	}
	return fmt.Sprintf("burlmill %s (commit %s, %s)", Number, commit(info), info.GoVersion)
}

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
