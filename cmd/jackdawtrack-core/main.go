// Command jackdawtrack-core runs a core host, which replicates the state of the
// platform's fleet.
package main

import (
	_ "jackdawtrack.example/jackdawtrack/internal/earlysignal"
	"jackdawtrack.example/jackdawtrack/platform"
)

// version is set by the linker.
var version = "development"

func main() {
	platform.Main("jackdawtrack-core", "Runs a core host, which replicates the state of the platform's fleet.", version, platform.RunCore)
}
