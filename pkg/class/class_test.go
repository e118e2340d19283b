package class

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jackdawtrack.example/jackdawtrack/pkg/result"
)

// Guards against accepting a class whose targets are missing or cannot be met.
func TestValidateRefusesValuesOutsideTheRange(t *testing.T) {
	valid := Class{Name: "chat", FirstToken: 340 * time.Millisecond}
	assert.NilError(t, valid.Validate())
	for _, c := range []struct {
		name   string
		change func(*Class)
	}{
		{"empty name", func(c *Class) { c.Name = "" }},
		{"name with a space", func(c *Class) { c.Name = "a b" }},
		{"negative target", func(c *Class) { c.FirstToken = -1 }},
		{"longest wait over a day", func(c *Class) { c.MaxWait = MaxDurationAllowed + 1 }},
		{"no target and no wait", func(c *Class) { c.FirstToken = 0 }},
		{"objective of 1", func(c *Class) { c.Objective = 1 }},
		{"objective that is not a number", func(c *Class) { c.Objective = math.NaN() }},
	} {
		t.Run(c.name, func(t *testing.T) {
			class := valid
			c.change(&class)
			code, _ := result.CodeOf(class.Validate())
			assert.Equal(t, code, result.InvalidCommand)
		})
	}
}
