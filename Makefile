modules := client entry local platform shared soak standin tanagerctl tanagerload
packages := $(addsuffix /...,$(addprefix ./,$(modules)))
bin := $(CURDIR)/.bin

.PHONY: run test check format lint build tools

# Starts the whole system in one process, publishes a sample plan and runs a job.
run:
	go run ./local demo

# Runs all tests with the race detector. The crowd tests measure memory and descriptors of
# processes, so they run after the others and one at a time.
test:
	go test -race -count=1 -skip '^TestCrowd' $(packages)
	go test -race -count=1 -run '^TestCrowd' ./platform/command

# Runs all checks that CI runs before the tests.
check: tools format lint build

tools:
	@mkdir -p $(bin)
	cd tools && GOWORK=off go build -o $(bin)/ tool

format:
	@files=$$($(bin)/gofumpt -l $(modules)); \
	if [ -n "$$files" ]; then echo "not formatted by gofumpt:"; echo "$$files"; exit 1; fi

lint:
	go vet $(packages)
	$(bin)/staticcheck $(packages)
	$(bin)/errcheck -ignoretests -exclude .errcheck-exclude $(packages)

build:
	go build $(packages)
