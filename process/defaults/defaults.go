// Package defaults fills in settings that were left out.
package defaults

import "cmp"

// IfZero sets a field that holds its zero value.
func IfZero[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// IfNotPositive sets a field that is zero or less.
func IfNotPositive[T cmp.Ordered](field *T, value T) {
	var zero T
	if *field <= zero {
		*field = value
	}
}
