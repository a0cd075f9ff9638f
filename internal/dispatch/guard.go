package dispatch

import "context"

type guardKey struct{}

// WithGuard returns a context whose calls to workers are made only if mayCall returns true right before they are passed to
// a connection, and the guards of ctx do so too. A worker that has restarted would accept a call of before.
func WithGuard(ctx context.Context, mayCall func() bool) context.Context {
	return context.WithValue(ctx, guardKey{}, func() bool { return MayCall(ctx) && mayCall() })
}

// MayCall reports whether all guards of ctx permit a call.
func MayCall(ctx context.Context) bool {
	mayCall, ok := ctx.Value(guardKey{}).(func() bool)
	return !ok || mayCall()
}
