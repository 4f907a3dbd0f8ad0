# The modules, in the order of their dependencies.
MODULES := kernel croftmoor croftctl croftfake croftload
PROGRAMS := croftmoor croftctl croftfake croftload
LINT_VERSION := v2.12.2
LINT := $(CURDIR)/.tools/golangci-lint-$(LINT_VERSION)

.PHONY: build test race lint demo fuzz clean

build:
	@mkdir -p bin
	@for p in $(PROGRAMS); do go build -o bin/$$p ./$$p || exit 1; done

test: build
	@for m in $(MODULES); do (cd $$m && go vet ./... && go test -timeout 20m ./...) || exit 1; done

race:
	@for m in kernel croftmoor; do (cd $$m && go test -race -timeout 20m ./...) || exit 1; done

$(LINT):
	@mkdir -p .tools
	GOWORK=off GOBIN=$(CURDIR)/.tools go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(LINT_VERSION)
	@mv .tools/golangci-lint $(LINT)

lint: $(LINT)
	@test -z "$$(gofmt -l $(MODULES))" || { echo "not formatted:"; gofmt -l $(MODULES); exit 1; }
	@for m in $(MODULES); do (cd $$m && $(LINT) run --config $(CURDIR)/.golangci.yml ./...) || exit 1; done

demo: build
	bin/croftload demo

clean:
	rm -rf bin .tools demo-report.json experiment-report.json
