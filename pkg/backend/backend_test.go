package backend

import (
	"encoding/json"
	"math"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jackdawtrack.example/jackdawtrack/pkg/release"
	"jackdawtrack.example/jackdawtrack/pkg/result"
)

func soundAnnouncement() Announcement {
	return Announcement{
		Name: "s1", DataCentre: "north", Address: "10.0.0.1:80", Pool: "p", Kind: Engine, BootID: 1, Slots: 8, State: Ready,
		Load: Load{Running: 2, AgeMS: 100, CachedPrefixes: 3, TotalRequests: 4},
	}
}

func encode(t testing.TB, a Announcement) string {
	data, err := json.Marshal(a)
	assert.NilError(t, err)
	return string(data)
}

// Guards against an announcement whose values overflow later or that no server
// sends. Each error is a refusal.
func TestOddAnnouncementsAreRefused(t *testing.T) {
	with := func(change func(a *Announcement)) string {
		a := soundAnnouncement()
		change(&a)
		return encode(t, a)
	}
	sound := encode(t, soundAnnouncement())
	_, err := Decode(strings.NewReader(sound + "\n"))
	assert.NilError(t, err)
	_, err = Decode(strings.NewReader(strings.Replace(sound, `"slots":8`, `"x":`+strings.Repeat("[", 8000)+strings.Repeat("]", 8000), 1)))
	assert.NilError(t, err) // unknown members are ignored
	for name, text := range map[string]string{
		"trailing bytes":             sound + "x",
		"second object":              sound + sound,
		"longer than allowed":        sound + strings.Repeat(" ", MaxAnnouncementBytes) + "x",
		"not UTF-8":                  strings.Replace(sound, `"s1"`, "\"s\xff\"", 1),
		"number beyond 64 bits":      strings.Replace(sound, `"slots":8`, `"slots":1e300`, 1),
		"port 0":                     with(func(a *Announcement) { a.Address = "10.0.0.1:0" }),
		"port out of range":          with(func(a *Announcement) { a.Address = "10.0.0.1:65536" }),
		"unspecified address":        with(func(a *Announcement) { a.Address = "0.0.0.0:80" }),
		"multicast address":          with(func(a *Announcement) { a.Address = "224.0.0.1:80" }),
		"address with a zone":        with(func(a *Announcement) { a.Address = "[fe80::1%eth0]:80" }),
		"another spelling of a port": with(func(a *Announcement) { a.Address = "10.0.0.1:080" }),
		"host name":                  with(func(a *Announcement) { a.Address = "s1:80" }),
		"slots":                      with(func(a *Announcement) { a.Slots = math.MaxInt64 }),
		"running":                    with(func(a *Announcement) { a.Load.Running = math.MaxInt64 }),
		"waiting":                    with(func(a *Announcement) { a.Load.Waiting = math.MaxInt64 }),
		"cached prefixes":            with(func(a *Announcement) { a.Load.CachedPrefixes = math.MaxInt64 }),
		"requests":                   with(func(a *Announcement) { a.Load.TotalRequests = -1 }),
		"age":                        with(func(a *Announcement) { a.Load.AgeMS = math.MaxInt64 }),
	} {
		t.Run(name, func(t *testing.T) {
			_, err := Decode(strings.NewReader(text))
			code, _ := result.CodeOf(err)
			assert.Equal(t, code, result.AnnouncementRefused, "%v", err)
			assert.Assert(t, err == nil || len(err.Error()) < 1000, "long error")
		})
	}
}

// Guards against a server that is refused for an odd version, and against two odd
// versions that are taken for one.
func TestOddSoftwareVersionIsNotStated(t *testing.T) {
	sound := encode(t, soundAnnouncement())
	for value, want := range map[string]Version{
		`"v1.3"`: "v1.3", `""`: "", `null`: "", `5`: "", `true`: "", `["v1"]`: "", `{"a":"v1"}`: "", "\"v\xff\"": "",
		`"` + strings.Repeat("v", release.MaxVersionBytes) + `"`:   Version(strings.Repeat("v", release.MaxVersionBytes)),
		`"` + strings.Repeat("v", release.MaxVersionBytes+1) + `"`: "",
		`" v1.3\t "`: "v1.3", `"v1 3"`: "v1 3", `"  "`: "", `" ` + strings.Repeat("v", release.MaxVersionBytes) + ` "`: Version(strings.Repeat("v", release.MaxVersionBytes)),
	} {
		a, err := Decode(strings.NewReader(strings.Replace(sound, `"slots"`, `"software_version":`+value+`,"slots"`, 1)))
		assert.NilError(t, err, "%.20s", value)
		assert.Equal(t, a.SoftwareVersion, want, "%.20s", value)
	}
}

// Guards against accepted values that overflow when they are added up or converted,
// and against panics.
func FuzzDecode(f *testing.F) {
	sound := encode(f, soundAnnouncement())
	f.Add([]byte(sound))
	f.Add([]byte(strings.Replace(sound, `"running":2`, `"running":9223372036854775807,"waiting":9223372036854775807`, 1)))
	f.Add([]byte(strings.Replace(sound, `"age_ms":100`, `"age_ms":9223372036854775807`, 1)))
	f.Add([]byte(strings.Replace(sound, "10.0.0.1:80", "[::]:0", 1)))
	f.Add([]byte("[[[[" + sound))
	f.Add([]byte(strings.Replace(sound, `"slots"`, `"software_version":"v1","slots"`, 1)))
	f.Add([]byte(strings.Replace(sound, `"slots"`, `"software_version":[{}],"slots"`, 1)))
	f.Add([]byte(strings.Replace(sound, `"slots"`, "\"software_version\":\"\xff\",\"slots\"", 1)))
	f.Fuzz(func(t *testing.T, data []byte) {
		a, err := Decode(strings.NewReader(string(data)))
		if err != nil {
			return
		}
		if a.Load.Running+a.Load.Waiting < 0 || a.Slots < 0 || time.Duration(a.Load.AgeMS)*time.Millisecond < 0 || !isServerAddress(a.Address) {
			t.Fatalf("accepted %+v", a)
		}
		if again, err := Decode(strings.NewReader(encode(t, a))); err != nil || again.Name != a.Name || again.SoftwareVersion != a.SoftwareVersion || len(a.SoftwareVersion) > release.MaxVersionBytes { // routers pass it on
			t.Fatalf("%+v cannot be passed on: %v", a, err)
		}
	})
}
