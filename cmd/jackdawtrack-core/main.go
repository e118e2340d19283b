// Command jackdawtrack-core is a core host: it keeps the agreed state of the platform's fleet.
package main

import "jackdawtrack.example/jackdawtrack/platform"

// version is set by the linker.
var version = "development"

func main() {
	platform.Main("jackdawtrack-core", "Runs a core host: it keeps the agreed state of the platform's fleet.", version, platform.RunCore)
}
