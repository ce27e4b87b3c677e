# Shortcuts for CMake and the scripts in tools.  Targets: all check check-asan
# check-long bench demo lint format gen install.
B ?= build
JOBS ?= 8
SRCS = $(shell git ls-files --cached --others --exclude-standard '*.c' '*.h' '*.cc' | grep -v '^gen/')

all:
	cmake -S . -B $(B) -G Ninja >/dev/null
	ninja -C $(B) -j $(JOBS)

check: all
	./tools/check.sh $(B)

check-asan:
	cmake -S . -B build-asan -G Ninja -DOGL_SANITIZE=ON \
	    -DCMAKE_BUILD_TYPE=Debug >/dev/null
	ninja -C build-asan -j $(JOBS)
	./tools/check.sh build-asan

check-long: all
	OGL_SEEDS=$(or $(SEEDS),2000) ./tools/check.sh $(B) cluster

bench: all
	./tools/bench.sh $(B)

demo:
	./tools/demo.sh $(B)

lint: all
	clang-format --dry-run -Werror $(SRCS)
	./tools/tidy.sh $(B)

format:
	clang-format -i $(SRCS)

gen:
	protoc-c --c_out=gen -I schema schema/*.proto
	python3 tools/gen_settings.py schema/settings.schema.json gen/settings_table.c

install: all
	cmake --install $(B) $(if $(DESTDIR),--prefix $(DESTDIR))

.PHONY: all check check-asan check-long bench demo lint format gen install
