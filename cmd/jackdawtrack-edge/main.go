// Command jackdawtrack-edge runs an edge host, which routes and forwards
// requests.
package main

import (
	_ "jackdawtrack.example/jackdawtrack/internal/earlysignal"
	"jackdawtrack.example/jackdawtrack/platform"
)

// version is set by the linker.
var version = "development"

func main() {
	platform.Main("jackdawtrack-edge", "Runs an edge host, which routes and forwards requests.", version, platform.RunEdge)
}
