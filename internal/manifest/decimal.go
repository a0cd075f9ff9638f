package manifest

import (
	"strconv"
	"strings"
)

const (
	// MicrosPerUnit is the number of millionths in one unit of the currency.
	MicrosPerUnit = 1_000_000

	moneyPlaces    = 6
	quantityPlaces = 3
)

// parseDecimal parses a decimal number such as 12.5 as an integer multiple of 10^-places. It does not use
// floating-point numbers, so that amounts of money are exact. It rejects signs, exponents and excess decimal places.
func parseDecimal(s string, places int) (int64, bool) {
	integer, fraction, hasPoint := strings.Cut(s, ".")
	if !digits(integer) || hasPoint && !digits(fraction) || len(fraction) > places {
		return 0, false
	}
	v, err := strconv.ParseInt(integer+fraction+strings.Repeat("0", places-len(fraction)), 10, 64)
	return v, err == nil
}

// digits reports whether s consists of one or more decimal digits.
func digits(s string) bool {
	for _, c := range s {
		if c < '0' || c > '9' {
			return false
		}
	}
	return s != ""
}

// FormatMoney returns an amount in millionths as a decimal number with at least two decimal places.
func FormatMoney(micros int64) string {
	sign, u := "", uint64(micros)
	if micros < 0 {
		sign, u = "-", uint64(-(micros+1))+1
	}
	fraction := strconv.FormatUint(u%MicrosPerUnit+MicrosPerUnit, 10)[1:]
	fraction = fraction[:2] + strings.TrimRight(fraction[2:], "0")
	return sign + strconv.FormatUint(u/MicrosPerUnit, 10) + "." + fraction
}

// formatQuantity returns thousandths as a decimal number without trailing zeros.
func formatQuantity(milli int64) string {
	fraction := strings.TrimRight(strconv.FormatInt(milli%1000+1000, 10)[1:], "0")
	if fraction == "" {
		return strconv.FormatInt(milli/1000, 10)
	}
	return strconv.FormatInt(milli/1000, 10) + "." + fraction
}

// bounds is an inclusive range in the unit of the parsed value.
type bounds struct{ low, high int64 }

func (b bounds) contains(v int64) bool { return v >= b.low && v <= b.high }
