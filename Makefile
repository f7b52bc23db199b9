# pimentoshelf: a plain makefile. "make" builds, "make check" is the whole
# verdict (formatter, linter, purity, tests), "make demo" runs the main job.
#
# Adding a file needs no change here: src/ is the pure library (no I/O, no
# clock, no threads), io/ the library around it that does I/O, daemon/ holds
# pimentod and pimentoctl, standin/ and bench/ one program per file named in
# their lists below, test/test_*.c one check program each.

CC ?= gcc
CXX ?= g++
B ?= build
SAN ?=
CCACHE ?= $(shell command -v ccache 2>/dev/null)

# What pimentoedge needs; the other programs need PKGS beside it.
EDGE_PKGS = jansson libprotobuf-c libxxhash libsodium zlib
PKGS = libulfius libmicrohttpd jansson libprotobuf-c libxxhash libsodium libcurl \
	zlib
OPT ?= -O2
WARN = -Wall -Wextra -Wshadow -Wstrict-prototypes -Wmissing-prototypes \
	-Wformat=2 -Werror
SANFLAGS = $(if $(SAN),-fsanitize=$(SAN) -fno-omit-frame-pointer) \
	$(if $(FUZZ),-fsanitize=fuzzer-no-link -fno-sanitize-recover=all)
DEFS = -D_GNU_SOURCE -I. -Isrc -Iio -Iplatform -Itest
CFLAGS_ALL = -std=gnu11 -g $(OPT) $(WARN) $(SANFLAGS) $(DEFS) -pthread \
	$(shell pkg-config --cflags $(EDGE_PKGS) 2>/dev/null)
CXXFLAGS_ALL = -std=c++17 -g $(OPT) -Wall -Wextra -Werror $(SANFLAGS) $(DEFS)
LDLIBS_ALL = $(SANFLAGS) -pthread $(shell pkg-config --libs $(PKGS)) \
	-lev -lhttp_parser -lstdc++ -lm
EDGE_LIBS = $(SANFLAGS) $(shell pkg-config --libs $(EDGE_PKGS)) \
	-lev -lhttp_parser -lstdc++ -lm

SRC_C = $(wildcard src/*.c)
SRC_CC = $(wildcard src/*.cc)
# The event-driven data path stands alone, without the libraries of the other.
EDGE_IO_C = $(patsubst %,io/%.c,admission arrival crashes dispatch exchange fetch fingerprint frame gateway \
	head hedge httpc httpd loop_time mesh metrics net paths overload placing pool quarantine_page relay sendbuf slots statements \
	status_line stopping sys trail trials tunnel window)
IO_C = $(wildcard io/*.c)
PLATFORM_C = $(wildcard platform/*.c)
CTL_C = $(wildcard daemon/ctl_*.c) daemon/pimentoctl.c
STANDIN_C = $(patsubst %,standin/%.c,platform engine service store worker)
STANDINS = $(patsubst standin/%.c,$(B)/%,$(STANDIN_C))
STANDIN_SHARED = $(filter-out $(STANDIN_C),$(wildcard standin/*.c))
BENCHES = $(patsubst bench/%.c,$(B)/%,$(wildcard bench/bench.c bench/slopes.c \
	bench/load.c))
BENCH_SHARED = $(filter-out bench/bench.c bench/slopes.c bench/load.c,\
	$(wildcard bench/*.c))
# The hosts in virtual time, for the tests and for the slopes.
GOSSIP = $(wildcard test/gossip_sim.c)
TESTS = $(patsubst test/%.c,$(B)/test/%,$(wildcard test/test_*.c))
TEST_SHARED = $(filter-out $(wildcard test/test_*.c test/fuzz_*.c),\
	$(wildcard test/*.c))

# Objects lie apart: bench/ and the program bench would share a path.
obj = $(patsubst %,$(B)/obj/%.o,$(1))

PURE = $(B)/libpimentoshelf.a
IOLIB = $(B)/libpimentoio.a
STANDINLIB = $(B)/libstandin.a
EDGELIB = $(B)/libpimentoedge.a
PLATFORMLIB = $(B)/libpimentoplatform.a
PROGRAMS = $(B)/pimentod $(B)/pimentoedge $(B)/pimentoctl $(STANDINS) $(BENCHES)

all: $(PROGRAMS)

$(PURE): $(call obj,$(SRC_C) $(SRC_CC))
	@rm -f $@
	$(AR) rcs $@ $^

$(IOLIB): $(call obj,$(IO_C))
	@rm -f $@
	$(AR) rcs $@ $^

$(EDGELIB): $(call obj,$(EDGE_IO_C))
	@rm -f $@
	$(AR) rcs $@ $^

$(PLATFORMLIB): $(call obj,$(PLATFORM_C))
	@rm -f $@
	$(AR) rcs $@ $^

$(STANDINLIB): $(call obj,$(STANDIN_SHARED))
	@rm -f $@
	$(AR) rcs $@ $^

$(B)/pimentod: $(call obj,daemon/pimentod.c) $(IOLIB) $(PURE)
	$(CC) -o $@ $^ $(LDLIBS_ALL)

$(B)/pimentoedge: $(call obj,daemon/pimentoedge.c) $(PLATFORMLIB) $(EDGELIB) $(PURE)
	$(CC) -o $@ $^ $(EDGE_LIBS)

$(B)/pimentoctl: $(call obj,$(CTL_C)) $(IOLIB) $(PURE)
	$(CC) -o $@ $^ $(LDLIBS_ALL)

$(STANDINS): $(B)/%: $(B)/obj/standin/%.c.o $(STANDINLIB) $(IOLIB) $(PURE)
	$(CC) -o $@ $^ $(LDLIBS_ALL)

$(BENCHES): $(B)/%: $(B)/obj/bench/%.c.o $(call obj,$(BENCH_SHARED) $(GOSSIP)) $(STANDINLIB) $(IOLIB) $(PURE)
	$(CC) -o $@ $^ $(LDLIBS_ALL)

$(TESTS): $(B)/test/%: $(B)/obj/test/%.c.o $(call obj,$(TEST_SHARED)) $(STANDINLIB) $(PLATFORMLIB) $(IOLIB) $(PURE)
	@mkdir -p $(@D)
	$(CC) -o $@ $^ $(LDLIBS_ALL) $(shell pkg-config --libs check)

$(B)/obj/%.c.o: %.c
	@mkdir -p $(@D)
	$(CCACHE) $(CC) $(CFLAGS_ALL) -MMD -MP -c -o $@ $<

# The generated codecs are committed; their warnings are not ours.
$(B)/obj/src/%.pb-c.c.o: src/%.pb-c.c
	@mkdir -p $(@D)
	$(CCACHE) $(CC) $(CFLAGS_ALL) -Wno-error -MMD -MP -c -o $@ $<

$(B)/obj/%.cc.o: %.cc
	@mkdir -p $(@D)
	$(CCACHE) $(CXX) $(CXXFLAGS_ALL) -MMD -MP -c -o $@ $<

.SECONDARY:
-include $(shell find $(B) -name '*.d' 2>/dev/null)

# Regenerates the committed codec; the build itself needs no generator.
proto:
	cd src && protoc-c --c_out=. wire.proto peer.proto

OWN = $(filter-out %.pb-c.c %.pb-c.h,$(wildcard pimentoshelf.h src/*.[ch] \
	io/*.[ch] platform/*.[ch] daemon/*.[ch] standin/*.[ch] bench/*.[ch] test/*.[ch]))
LINT = $(filter %.c,$(filter-out test/%,$(OWN)))

deps:
	.ci/deps

format:
	clang-format -i $(OWN)

format-check:
	@clang-format --dry-run -Werror $(OWN) && echo "format: clean"

lint: $(LINT:%=$(B)/lint/%.ok)
	@echo "lint: clean"

$(B)/lint/%.ok: % .clang-tidy $(wildcard pimentoshelf.h src/*.h io/*.h)
	@mkdir -p $(@D)
	@clang-tidy --quiet $< -- -std=gnu11 $(DEFS) \
		$(shell pkg-config --cflags $(PKGS)) 2>$@.err \
		|| { cat $@.err; exit 1; }
	@touch $@

purity: $(PURE)
	@.ci/purity $(PURE)

# Everything that a check needs, so that it can be built side by side first.
ready: all $(TESTS) lint

tests: all $(TESTS)
	@B=$(B) .ci/tests $(TESTS)

# A second make, for on a fresh machine the first one saw no libraries yet.
check: deps
	@$(MAKE) -s format-check lint purity tests bench-short

asan:
	$(MAKE) B=build/asan SAN=address,undefined OPT=-O1 tests

tsan:
	$(MAKE) B=build/tsan SAN=thread OPT=-O1 tests

# Each parser of what others send, for a few seconds; FUZZ_SECONDS for more.
FUZZERS = $(patsubst test/%.c,$(B)/test/%,$(wildcard test/fuzz_*.c))
FUZZ_SECONDS ?= 6
FUZZ_RUN = -max_total_time=$(FUZZ_SECONDS) -seed=1 -max_len=4096 \
	-rss_limit_mb=1500 -print_final_stats=1 -verbosity=0

$(FUZZERS): $(B)/test/%: $(B)/obj/test/%.c.o $(PLATFORMLIB) $(IOLIB) $(PURE)
	@mkdir -p $(@D)
	$(CXX) -fsanitize=fuzzer,$(SAN) -o $@ $^ $(LDLIBS_ALL)

fuzzers: $(FUZZERS)

fuzz:
	@$(MAKE) -s B=build/fuzz CC=clang CXX=clang++ OPT=-O1 \
		SAN=address,undefined FUZZ=yes fuzzers
	@for f in $(patsubst test/%.c,%,$(wildcard test/fuzz_*.c)); do \
		echo "$$f"; \
		mkdir -p build/fuzz/$$f.corpus; \
		(cd build/fuzz && test/$$f $$f.corpus $(FUZZ_RUN)) \
			>build/fuzz/$$f.log 2>&1 || \
			{ tail -40 build/fuzz/$$f.log; exit 1; }; \
		grep -E 'executed_units|new_units|peak_rss' build/fuzz/$$f.log; \
	done; echo "fuzz: clean"

# Fresh seeds of the soak; SOAK_SEED, SOAK_COUNT and SOAK_MS choose others.
soak: all $(B)/test/test_soak
	B=$(B) SOAK_SEED=$${SOAK_SEED:-$$(date +%s)} SOAK_COUNT=$${SOAK_COUNT:-20} \
		SOAK_MS=$${SOAK_MS:-8000} $(B)/test/test_soak

model:
	model/check

demo: deps
	@$(MAKE) -s all
	@B=$(B) examples/demo
	@B=$(B) examples/demo-platform

bench: all
	$(B)/bench

# A few runs; fails if more urgent work is shed before less urgent.
bench-short: all
	$(B)/bench --short

# What the daemons add to a request, as a ratio in one run.
latency: all
	@B=$(B) bench/latency

slopes: all
	$(B)/slopes

clean:
	rm -rf build

.PHONY: all ready proto deps format format-check lint purity tests check asan tsan \
	fuzz fuzzers soak model demo bench bench-short latency slopes clean
