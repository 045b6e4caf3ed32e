# Commands of the project. `make run` sets up, builds and runs the demonstration; `make test` builds and runs all tests.

PACKAGES := g++ cmake ninja-build pkg-config ccache clang-format clang-tidy libevent-dev libcereal-dev \
  libboost1.81-dev libboost-log1.81-dev libboost-json1.81-dev libtclap-dev doctest-dev libxxhash-dev libssl-dev
BUILD := build
# Tests that are known to fail: what stands before the first colon of each line.
KNOWN_RED := $(shell cut -d: -f1 KNOWN-RED.txt | paste -sd '|')
SOURCES := $(shell git ls-files '*.cpp' '*.hpp')
UNITS := $(shell git ls-files '*.cpp')

# Words by which a comment tells a measurement in place of its purpose.
MEASURED := mean worth|plays each|[0-9] plays|standard error|days with trouble|\(seen:?

.PHONY: run test setup build sanitized format lint bench bench-policy bench-load golden

run: setup build
	demo/run.sh $(BUILD)

test: setup build sanitized
	cd $(BUILD) && ctest --output-on-failure -j 4 $(if $(KNOWN_RED),-E '^($(KNOWN_RED))$$')
	cd $(BUILD)-asan && ctest --output-on-failure -L doors

# Installs what is missing; does nothing on a machine that has it all.
setup:
	@dpkg -s $(PACKAGES) >/dev/null 2>&1 || (apt-get update -q && apt-get install -y --no-install-recommends $(PACKAGES))

build:
	@cmake -S . -B $(BUILD) -G Ninja -DSISKINPADDLE_STRICT=ON >/dev/null
	@cmake --build $(BUILD)

sanitized:
	@cmake -S . -B $(BUILD)-asan -G Ninja -DSISKINPADDLE_SANITIZE=ON >/dev/null
	@cmake --build $(BUILD)-asan --target door_tests

format:
	clang-format -i $(SOURCES)

# clang-tidy reads no headers that another compiler has precompiled, so it gets compile commands without them.
lint: setup
	clang-format --dry-run --Werror $(SOURCES)
	@! git grep -nE '//.*($(MEASURED))' -- '*.cpp' '*.hpp' || (echo 'measurements belong in commits, not in comments'; false)
	@cmake -S . -B $(BUILD)-lint -G Ninja -DCMAKE_DISABLE_PRECOMPILE_HEADERS=ON -DCMAKE_CXX_COMPILER=clang++ >/dev/null
	printf '%s\n' $(UNITS) | xargs -P 8 -n 3 clang-tidy --quiet -p $(BUILD)-lint

bench-policy: setup
	@cmake -S . -B $(BUILD) -G Ninja >/dev/null
	@cmake --build $(BUILD) --target bench_policy >/dev/null
	@$(BUILD)/bench/bench_policy $(ARGS)

bench: setup build
	bench/slopes.sh $(BUILD)

bench-load: setup build
	@$(BUILD)/bench/bench_load

# Writes the golden sessions anew; the diff is what a reviewer reads.
golden: setup build
	SISKINPADDLE_WRITE_GOLDEN=1 $(BUILD)/tests/golden_tests
