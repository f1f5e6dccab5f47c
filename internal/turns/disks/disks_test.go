package disks

import (
	"testing"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/test/assert"
)

func TestForgetAfter(t *testing.T) {
	route := zinniapond.Route{Retention: time.Hour, Timeout: time.Minute}
	t.Run("guards against forgetting a lost disk while its spends may still count", func(t *testing.T) {
		got := forgetAfter(&zinniapond.ControlView{Routing: &zinniapond.Routing{Routes: []zinniapond.Route{route}}})
		assert.True(t, got >= time.Hour+2*time.Minute, "forgotten after %s", got)
	})
	t.Run("guards against forgetting a lost disk before the first configuration", func(t *testing.T) {
		assert.True(t, forgetAfter(&zinniapond.ControlView{}) >= zinniapond.SpendRetention, "forgotten too soon")
	})
}
