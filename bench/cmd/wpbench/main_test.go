package main

import (
	"context"
	"testing"
)

func TestRegisterPanicsOnDuplicateName(t *testing.T) {
	e := experiment{Name: "test-only", Run: func(context.Context, options) error { return nil }}
	register(e)
	defer delete(experiments, e.Name)
	defer func() {
		if recover() == nil {
			t.Error("the second registration did not panic")
		}
	}()
	register(e)
}
