/*
 * What the sections of the slopes tool share.
 */

#include "slope.h"

#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>
#include <unistd.h>

void slope_row(const char *section, const char *what, uint64_t size,
	       double value, const char *unit)
{
	printf("%-8s %-40s %8llu %14.2f %s\n", section, what,
	       (unsigned long long)size, value, unit);
	fflush(stdout);
}

double slope_cpu(void)
{
	struct timespec at;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &at);
	return (double)at.tv_sec * 1e9 + (double)at.tv_nsec;
}

double slope_heap(void)
{
	struct mallinfo2 info = mallinfo2();

	return (double)info.uordblks + (double)info.hblkhd;
}

#define CONTRACTS_MAX 1024 /* config.c takes no more */

double slope_resident(void)
{
	FILE *file = fopen("/proc/self/statm", "r");
	long size = 0;
	long pages = 0;

	if (!file)
		return 0;
	if (fscanf(file, "%ld %ld", &size, &pages) != 2)
		pages = 0;
	fclose(file);
	return (double)pages * (double)sysconf(_SC_PAGESIZE);
}

static size_t config_head(char *text, size_t room)
{
	size_t n = (size_t)snprintf(text, room, "deployment = \"slopes\"\n");

	for (uint32_t i = 0; i < 5; i++)
		n += (size_t)snprintf(text + n, room - n,
				      "[[tier]]\nname = \"t%u\"\nrank = %u\n"
				      "patience_ms = %u\n",
				      i, i, 20000 * (i + 1));
	return n;
}

static size_t config_account(char *text, size_t room, uint32_t i)
{
	return (size_t)snprintf(text, room,
				"[[account]]\nname = \"a%u\"\n"
				"key_hash = \"%064x\"\nweight = 1\n",
				i, i + 1);
}

static size_t config_endpoint(char *text, size_t room, uint32_t i)
{
	return (size_t)snprintf(text, room,
				"[[endpoint]]\nname = \"e%u\"\n"
				"datacentre = \"dc%u\"\n"
				"target = \"model:m%u\"\n"
				"address = \"127.0.0.1\"\nport = %u\n"
				"concurrency = 64\n",
				i, i % 8, i % 4, 30000 + i);
}

static size_t config_contract(char *text, size_t room, uint32_t i,
			      uint32_t accounts, uint32_t patience)
{
	return (size_t)snprintf(text, room,
				"[[contract]]\nname = \"c%u\"\n"
				"account = \"a%u\"\ntarget = \"model:m%u\"\n"
				"tier = \"t%u\"\npatience_ms = %u\n",
				i, i % accounts, i % 4, i % 5, patience);
}

char *slope_config(uint32_t endpoints, size_t size, uint32_t change)
{
	uint32_t accounts = endpoints >= 600 ? 300 : 5;
	size_t room = size + (size_t)endpoints * 200 + 65536;
	char *text = malloc(room);
	size_t n = config_head(text, room);

	for (uint32_t i = 0; i < accounts; i++)
		n += config_account(text + n, room - n, i);
	for (uint32_t i = 0; i < endpoints; i++)
		n += config_endpoint(text + n, room - n, i);
	for (uint32_t i = 0; i < CONTRACTS_MAX && (i < 20 || n + 120 < size);
	     i++)
		n += config_contract(text + n, room - n, i, accounts,
				     i == 7 ? 20000 + change : 30000);
	for (uint32_t i = 0; n + 60 < size; i++)
		n += (size_t)snprintf(text + n, room - n,
				      "# answer %u of the questionnaire\n", i);
	return text;
}

char *slope_hosts(uint32_t count, uint64_t revision)
{
	size_t room = (size_t)count * 160 + 64;
	char *text = malloc(room);
	size_t n = (size_t)snprintf(text, room,
				    "{\"revision\": %llu, \"hosts\": [",
				    (unsigned long long)revision);

	for (uint32_t i = 0; i < count; i++)
		n += (size_t)snprintf(
			text + n, room - n,
			"%s\n{\"name\": \"host-%u\", \"datacentre\": \"dc%u\", "
			"\"address\": \"10.0.%u.%u\", \"port\": 9081, "
			"\"role\": \"entry\", \"state\": \"live\"}",
			i ? "," : "", i, i % 8, i / 250, i % 250);
	snprintf(text + n, room - n, "]}\n");
	return text;
}
