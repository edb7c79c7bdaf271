// Package defaults sets default values of unset fields.
package defaults

import "cmp"

// IfZero sets a field to value if it is zero.
func IfZero[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// IfNotPositive sets a field to value if it is zero or negative.
func IfNotPositive[T cmp.Ordered](field *T, value T) {
	var zero T
	if *field <= zero {
		*field = value
	}
}
