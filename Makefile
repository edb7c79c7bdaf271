# README.md names the two commands: make demo and make test.
GOLANGCI = go run github.com/golangci/golangci-lint/v2/cmd/golangci-lint@v2.15.0
GOPLS = go run golang.org/x/tools/gopls@v0.23.0
SHELL = /bin/bash
BIN = bin

# FUZZTIME is how many inputs each fuzz target runs, or for how long. With a time, go test may
# fail at its end with "context deadline exceeded" and no input.
FUZZTIME = 5000x

.PHONY: fmt rename build demo test format lint vet race fuzz clean

build:
	go build -o $(BIN)/ ./cmd/... ./bench/cmd/...

demo: build
	$(BIN)/wpdemo --bin $(BIN)

fmt:
	@for module in . bench; do (cd $$module && $(GOLANGCI) fmt ./...) || exit 1; done

# Renames an identifier with every use: make rename AT=FILE:LINE:COLUMN TO=NAME
rename:
	$(GOPLS) rename -w $(AT) $(TO)

test: format lint vet race fuzz

format:
	@echo "== formatter"
	@for module in . bench; do (cd $$module && $(GOLANGCI) fmt --diff ./...) || exit 1; done

lint:
	@echo "== linter"
	@for module in . bench; do (cd $$module && $(GOLANGCI) run ./...) || exit 1; done

vet:
	@echo "== vet"
	go vet work

race:
	@echo "== race tests"
	go run ./bench/cmd/wpci

# An input that fails is kept below testdata/fuzz of its package.
fuzz:
	@echo "== fuzzing"
	@set -o pipefail; grep -rn '^func Fuzz' --include='*_test.go' . | \
	  sed -E 's|^(.*)/[^/]*:[0-9]+:func (Fuzz[A-Za-z]*).*|\1 \2|' | sort | while read -r dir name; do \
	  output=$$(cd $$dir && go test -run '^$$' -fuzz "^$$name\$$" -fuzztime $(FUZZTIME) . 2>&1) || \
	    { echo "$$dir $$name failed:"; echo "$$output"; exit 1; }; \
	  echo "$$name $$(tail -1 <<< "$$output")"; done

clean:
	rm -rf $(BIN)
