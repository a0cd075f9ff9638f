package manifest

import (
	"math"
	"math/big"
	"time"

	"clementinewalk.example/clementinewalk/internal/resource"
)

// Of returns the price of holding the resources size for the duration held, in millionths of the currency.
//
// The sum over cores, memory and accelerators is exact and is rounded once, half up to the nearest millionth. A result
// beyond the range of int64 is replaced by its maximum. The price of a negative duration is 0.
func (p Prices) Of(size resource.Vector, held time.Duration) int64 {
	if held <= 0 {
		return 0
	}
	// The unit is a thousandth of a millionth per hour, because sizes are in thousandths of a core and of a GB.
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

// Price returns the price of one request or task of kind k that runs for runTime, in millionths of the currency. It is
// rounded as in Prices.Of.
func (m *Manifest) Price(k Kind, runTime time.Duration) int64 { return m.Prices.Of(k.Size, runTime) }
