package manifest

import (
	"math"
	"math/big"
	"time"

	"clementinewalk.example/clementinewalk/internal/resource"
)

// Of returns the price in millionths of the currency of holding an amount for a time.
//
// The sum over processors, memory and accelerators is exact; it is rounded once, to the nearest millionth and half up. A
// result beyond the range of int64 is cut to its limit. A negative time costs nothing.
func (p Prices) Of(size resource.Vector, held time.Duration) int64 {
	if held <= 0 {
		return 0
	}
	// Thousandths of a millionth for an hour: sizes are in thousandths of a core and of a GB.
	hourly := product(size.MilliCores, p.CoreHour)
	hourly.Add(hourly, product(size.MemoryMB, p.MemoryGBHour))
	hourly.Add(hourly, product(size.Accelerators*1000, p.AcceleratorHour))
	total := hourly.Mul(hourly, big.NewInt(int64(held)))
	divisor := product(1000, int64(time.Hour))
	total.Add(total, new(big.Int).Rsh(divisor, 1))
	total.Div(total, divisor)
	if !total.IsInt64() {
		return math.MaxInt64
	}
	return total.Int64()
}

func product(a, b int64) *big.Int { return new(big.Int).Mul(big.NewInt(a), big.NewInt(b)) }

// Price returns the price in millionths of the currency of one request or task of a kind that runs for runTime. The rounding
// is that of Prices.Of.
func (m *Manifest) Price(k Kind, runTime time.Duration) int64 { return m.Prices.Of(k.Size, runTime) }
