# medlarmill: build, demo, checks. Every target installs what it needs (as root, on Debian 12).
BUILD ?= build
JOBS ?= $(shell nproc)

.PHONY: all install build demo check format lint

all: build

install:
	bash .ci/run --install-only

$(BUILD)/build.ninja: CMakeLists.txt
	cmake -G Ninja -B $(BUILD) -DCMAKE_CXX_COMPILER_LAUNCHER=ccache

build: install $(BUILD)/build.ninja
	ninja -C $(BUILD) -j $(JOBS)

demo: build
	python3 scripts/demo.py $(BUILD)

check: build
	bash scripts/check.sh $(BUILD)

format:
	git ls-files '*.cpp' '*.h' | grep -v generated/ | xargs clang-format -i
