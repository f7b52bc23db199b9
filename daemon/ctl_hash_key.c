/*
 * pimentoctl hash-key: the hash of an API key, for the questionnaire. The key
 * comes on standard input, because arguments can be seen by every user of the
 * machine.
 */

#include "ctl.h"

#include <getopt.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>

#define KEY_MAX 512

static const char usage[] =
	"usage: pimentoctl hash-key < FILE\n"
	"\n"
	"Reads an API key from standard input, one line, and prints its hash\n"
	"(BLAKE2b-256) as the questionnaire wants it. The key itself stands in\n"
	"no file of the system.\n"
	"\n"
	"  -h, --help  print this text\n"
	"\n"
	"Exit status: 0 printed, 2 no key, or wrong arguments.\n";

static int hash_line(char *key)
{
	uint8_t hash[32];
	char text[2 * sizeof(hash) + 1];
	size_t length = strcspn(key, "\r\n");

	if (!length || length == KEY_MAX) {
		fprintf(stderr, "pimentoctl: a key has 1 to %d bytes\n",
			KEY_MAX - 1);
		return CTL_USAGE;
	}
	pimento_config_hash_key(key, length, hash);
	sodium_memzero(key, length);
	puts(sodium_bin2hex(text, sizeof(text), hash, sizeof(hash)));
	return CTL_SUCCESS;
}

int ctl_hash_key(int argc, char **argv)
{
	static const struct option options[] = {
		{ "help", no_argument, NULL, 'h' },
		{ NULL, 0, NULL, 0 },
	};
	char key[KEY_MAX + 1] = "";
	int option;

	while ((option = getopt_long(argc, argv, "h", options, NULL)) != -1) {
		if (option == 'h')
			return ctl_help(usage);
		return ctl_misused("hash-key");
	}
	if (argc != optind)
		return ctl_misused("hash-key");
	if (!fgets(key, sizeof(key), stdin))
		key[0] = '\0';
	return hash_line(key);
}
