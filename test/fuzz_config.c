/*
 * Fuzzes the parsers of the configuration, the host list and the settings of
 * pimentod. The first byte selects the parser. A text must be accepted, or
 * rejected with at least one error reported.
 */

#include "config.h"
#include "settings.h"

#include <stdlib.h>

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void run_parser(uint8_t which, const char *text, size_t length,
		       problems_t *problems)
{
	pimento_config_t config;
	settings_t settings;
	hostlist_t list;
	int error;

	if (which % 3 == 0) {
		error = pimento_config_parse(&config, text, length, "f",
					     problems);
		if (!error)
			pimento_config_finish(&config);
	} else if (which % 3 == 1) {
		error = hostlist_parse(&list, text, length, problems);
		if (!error)
			hostlist_finish(&list);
	} else {
		error = settings_parse(&settings, text, length, "f", problems);
	}
	if (error == PIMENTO_EPARSE && !problems->count)
		abort();
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	problems_t problems;

	if (!size)
		return 0;
	problems_init(&problems);
	run_parser(data[0], (const char *)data + 1, size - 1, &problems);
	problems_finish(&problems);
	return 0;
}
