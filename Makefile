BUILD ?= build
GENERATOR ?= Ninja

.PHONY: setup configure build test demo bench capacity test-asan test-tsan format lint

setup:
	tools/setup.sh

configure: setup
	cmake -S . -B $(BUILD) -G $(GENERATOR) > $(BUILD)-configure.log 2>&1 || (cat $(BUILD)-configure.log; exit 1)

build: configure
	cmake --build $(BUILD)

test: build
	tools/run-tests.sh $(BUILD)

demo: build
	tools/demo.sh $(BUILD)

bench: build
	$(BUILD)/bench/nutmegwell-bench

capacity: build
	$(BUILD)/bench/nutmegwell-capacity

test-asan: setup
	cmake -S . -B build-asan -G $(GENERATOR) -DNUTMEGWELL_SANITIZE=address,undefined
	cmake --build build-asan
	tools/run-tests.sh build-asan

test-tsan: setup
	cmake -S . -B build-tsan -G $(GENERATOR) -DNUTMEGWELL_SANITIZE=thread
	cmake --build build-tsan
	tools/run-tests.sh build-tsan

format:
	git ls-files -co --exclude-standard '*.cpp' '*.h' | xargs clang-format -i

lint: configure
	tools/lint.sh $(BUILD)
