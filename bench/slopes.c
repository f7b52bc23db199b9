/*
 * The slopes that docs/CAPACITY.md is worked out from: what one request, one
 * probe, one change of configuration and one entry of each table cost, at
 * several sizes, so that the growth is seen and not assumed.
 *
 *	slopes			every section
 *	slopes SECTION		one of wire tables request gossip change loss reads
 *	slopes config ENDPOINTS BYTES
 *	slopes repeat OPERATION SIZE TIMES
 *
 * The third prints a configuration for bench/daemons. The last form is for bench/instructions, which counts the instructions of
 * one operation under valgrind; unlike time, these are the same on each run
 * and on a busy machine.
 */

#include "slope.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static const struct {
	const char *name;
	void (*run)(void);
} sections[] = {
	{ "wire", slope_wire },	      { "tables", slope_tables },
	{ "request", slope_request }, { "gossip", slope_gossip },
	{ "change", slope_change },   { "loss", slope_loss },
	{ "reads", slope_reads },
};

int main(int argc, char **argv)
{
	size_t count = sizeof(sections) / sizeof(sections[0]);
	bool found = argc == 1;

	if (argc == 5 && !strcmp(argv[1], "repeat"))
		return slope_repeat(argv[2],
				    (uint32_t)strtoul(argv[3], NULL, 10),
				    (uint32_t)strtoul(argv[4], NULL, 10));
	if (argc == 4 && !strcmp(argv[1], "config")) {
		char *text =
			slope_config((uint32_t)strtoul(argv[2], NULL, 10),
				     (size_t)strtoul(argv[3], NULL, 10), 1);

		fputs(text, stdout);
		free(text);
		return EXIT_SUCCESS;
	}
	if (argc <= 2)
		printf("%-8s %-40s %8s %14s %s\n", "section", "what", "size",
		       "value", "unit");
	for (size_t i = 0; i < count; i++) {
		if (argc > 1 && strcmp(argv[1], sections[i].name) != 0)
			continue;
		sections[i].run();
		found = true;
	}
	if (found)
		return EXIT_SUCCESS;
	fprintf(stderr, "slopes: unknown section\n");
	return EXIT_FAILURE;
}
