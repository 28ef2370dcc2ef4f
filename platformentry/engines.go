package platformentry

import (
	"context"
	"errors"

	"greengagespoke/ratelimit"
	"greengagespoke/traffic"
)

// errRests means that an engine is not called because it asked for rest.
var errRests = errors.New("the engine asked for rest; it is called later")

// awakeEngines controls engines, and does not call those that asked for rest.
type awakeEngines struct {
	traffic.EngineControl
	limits *ratelimit.Limits
}

// Report implements traffic.EngineControl.
func (e awakeEngines) Report(ctx context.Context, up *traffic.Upstream) (traffic.EngineReport, error) {
	if e.limits.Resting(up) {
		return traffic.EngineReport{}, &traffic.CallError{Effect: traffic.EffectNotSent, Err: errRests}
	}
	return e.EngineControl.Report(ctx, up)
}

// Order implements traffic.EngineControl.
func (e awakeEngines) Order(ctx context.Context, up *traffic.Upstream, order traffic.RoleOrder) error {
	if e.limits.Resting(up) {
		return &traffic.CallError{Effect: traffic.EffectNotSent, Err: errRests}
	}
	return e.EngineControl.Order(ctx, up, order)
}
