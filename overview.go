package zinniapond

import (
	"encoding/json"
	"net/netip"
	"time"
)

// Milliseconds is a duration that JSON has as a number of milliseconds.
type Milliseconds time.Duration

// Duration returns the duration.
func (m Milliseconds) Duration() time.Duration { return time.Duration(m) }

// MarshalJSON returns the number of milliseconds, with microseconds as its fraction.
func (m Milliseconds) MarshalJSON() ([]byte, error) {
	return json.Marshal(float64(time.Duration(m).Microseconds()) / 1000)
}

// UnmarshalJSON sets the duration from a number of milliseconds.
func (m *Milliseconds) UnmarshalJSON(text []byte) error {
	var number float64
	if err := json.Unmarshal(text, &number); err != nil {
		return err
	}
	*m = Milliseconds(number * float64(time.Millisecond))
	return nil
}

// HostOverview is what a host exports for operators: its confirmed configuration, limits
// of plans, queues and replicas that ramp up. It has no keys and no hashes of keys.
type HostOverview struct {
	Host          HostName              `json:"host"`
	At            time.Time             `json:"at"`
	Configuration ConfigurationOverview `json:"configuration"`
	Limits        LimitOverview         `json:"limits"`
	Queues        []QueueOverview       `json:"queues"`
	// RampUps has the replicas that ramp up, ordered by address; PaceEnabled is false if
	// the settings name no pace.
	RampUps     []RampUp `json:"rampUps"`
	PaceEnabled bool     `json:"paceEnabled"`
}

// ConfigurationOverview describes the configuration that a host has applied.
type ConfigurationOverview struct {
	Version uint64 `json:"version"` // 0 before the first
	Plans   int    `json:"plans"`
	// ConfirmedAge is the time since the configuration was confirmed as current. It is
	// negative if it was never confirmed.
	ConfirmedAge Milliseconds `json:"confirmedAgeMs"`
	// KeyLease is the age up to which keys are accepted; 0 if there is no bound.
	KeyLease      Milliseconds `json:"keyLeaseMs"`
	KeyLeaseValid bool         `json:"keyLeaseValid"`
}

// MaxLimitedPlans is the number of plans that an overview names. A plan that is left out
// is still counted.
const MaxLimitedPlans = 32

// LimitOverview describes the request limits of plans at one host. A control host that
// counts knows all plans; a front knows those that it had requests of.
type LimitOverview struct {
	// AtLimit has the names of the first MaxLimitedPlans plans at their limit, sorted, and
	// AtLimitCount the number of all.
	AtLimit      []PlanName `json:"atLimit"`
	AtLimitCount int        `json:"atLimitCount"`
	Counted      int        `json:"counted"`
	// Counter is the control host that counts, as far as this host knows.
	Counter netip.AddrPort `json:"counter"`
	// IsCounter is set if this host counts.
	IsCounter bool `json:"isCounter"`
}

// QueueOverview describes the requests that wait at a front for replicas of one pool.
type QueueOverview struct {
	Pool        PoolName     `json:"pool"`
	Length      int          `json:"length"`
	LongestWait Milliseconds `json:"longestWaitMs"`
	// FreedPerS is the rate at which places at replicas became free lately; 0 if it is
	// not known.
	FreedPerS float64 `json:"freedPerS"`
	Refused   int64   `json:"refused"` // at once, or as the queue was full, since the start
	Expired   int64   `json:"expired"` // no place became free in time, since the start
}

// RampUp describes a replica with a bound on the requests of all hosts.
type RampUp struct {
	Replica netip.AddrPort `json:"replica"`
	ID      string         `json:"id"`
	Pool    PoolName       `json:"pool"`
	Bound   int            `json:"bound"`
	Load    int            `json:"load"` // requests of all hosts
	Since   time.Time      `json:"since"`
}

// OverviewSource adds its part to the overview of a host.
type OverviewSource interface {
	AddOverview(now time.Time, overview *HostOverview)
}
