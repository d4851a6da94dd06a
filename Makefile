# Entry points for people and for CI; CMake does the work.
BUILD ?= build
JOBS ?= $(shell nproc)

.PHONY: all configure test test-fast demo bench lint format format-check packages clean

all: configure
	cmake --build $(BUILD) -j $(JOBS)

packages:
	./scripts/install-packages.sh

configure: packages
	@cmake -S . -B $(BUILD) -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo >$(BUILD).log 2>&1 || (cat $(BUILD).log; exit 1)
	@mv $(BUILD).log $(BUILD)/configure.log

# Runs every test; the cases listed in KNOWN-RED.txt are printed and excluded.
test: all
	./scripts/run-tests.sh $(BUILD)

demo: all
	$(BUILD)/fescueline-demo

bench: all
	./scripts/run-benchmarks.sh $(BUILD)

lint: configure
	./scripts/lint.sh $(BUILD)

format:
	./scripts/format.sh --fix

format-check:
	./scripts/format.sh

clean:
	rm -rf $(BUILD)
