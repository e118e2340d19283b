package catalog

import (
	"testing"

	"gotest.tools/v3/assert"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/pkg/release"
	"jackdawtrack.example/jackdawtrack/pkg/result"
)

// Guards against a statement on a service that is lost in a snapshot, and against one of
// a later version that counts as the laxest one.
func TestStatementOnServiceIsKept(t *testing.T) {
	c := Empty().WithChanges(1, []*apiv1.Change{
		ServiceChange(Service{Name: "stock", Versions: release.One}),
		ServiceChange(Service{Name: "chat", Versions: release.Several}),
		{Item: &apiv1.Change_Service{Service: &apiv1.Service{Name: "later", SoftwareVersions: 7}}},
	})
	restored := Empty().WithChanges(1, c.Items())
	for service, want := range map[string]release.Versions{
		"stock": release.One, "chat": release.Several, "later": release.Several, "other": release.Unstated,
	} {
		assert.Equal(t, c.Versions(service), want, service)
		assert.Equal(t, restored.Versions(service), want, service)
	}
	assert.Equal(t, len(c.Services()), 3)
	removal := ServiceChange(Service{Name: "stock"})
	assert.Assert(t, c.Contains(removal))
	removal.Delete = true
	assert.NilError(t, Validate(removal))
	assert.Equal(t, c.WithChanges(2, []*apiv1.Change{removal}).Versions("stock"), release.Unstated)
	assert.Equal(t, c.Versions("stock"), release.One, "a change of one revision is visible in an older one")
}

// Guards against a service that is set without a statement or with an unknown one.
func TestValidateRejectsServiceWithoutStatement(t *testing.T) {
	for _, versions := range []apiv1.SoftwareVersions{0, 3, -1} {
		code, _ := result.CodeOf(Validate(&apiv1.Change{Item: &apiv1.Change_Service{Service: &apiv1.Service{Name: "p", SoftwareVersions: versions}}}))
		assert.Equal(t, code, result.InvalidCommand, "%d", versions)
	}
	assert.NilError(t, Validate(ServiceChange(Service{Name: "p", Versions: release.One})))
	assert.NilError(t, Validate(ServiceChange(Service{Name: "p", Versions: release.Several})))
}
