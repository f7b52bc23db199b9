/*
 * Basic functions used throughout the library: identities, names of verdicts
 * and errors, request ids and the seeded random generator.
 */

#include "../pimentoshelf.h"

#include <stdio.h>
#include <string.h>
#include <xxhash.h>

const char *pimento_verdict_name(pimento_verdict_t verdict)
{
	switch (verdict) {
	case PIMENTO_NOT_RUN:
		return "not-run";
	case PIMENTO_RAN:
		return "ran";
	case PIMENTO_MAY_HAVE_RUN:
	default:
		return "may-have-run";
	}
}

static const char *const error_texts[] = {
	"success",
	"invalid argument",
	"out of memory",
	"table is full",
	"not found",
	"out of date",
	"malformed input",
	"cannot finish before its deadline",
	"no capacity left for this tier",
	"cannot be reached",
	"idempotency key is in use by another dispatch",
	"this attempt of the idempotency key was given up",
	"idempotency key is older than the retention",
	"idempotency key was used with another body",
	"too few witnesses answer",
	"not authorised",
	"over the size limit",
	"leaving",
	"endpoint failed during the answer",
	"no configuration is in force yet",
	"caller left",
	"input or output failed",
	"repeated",
};

const char *pimento_strerror(int error)
{
	size_t n = sizeof(error_texts) / sizeof(error_texts[0]);

	if (error > 0 || (size_t)-error >= n)
		return "unknown error";
	return error_texts[-error];
}

pimento_id_t pimento_id(const char *name)
{
	pimento_id_t id = XXH3_64bits(name, strlen(name));

	return id ? id : 1;
}

void pimento_reqid_format(pimento_reqid_t id,
			  char text[PIMENTO_REQID_TEXT_SIZE])
{
	snprintf(text, PIMENTO_REQID_TEXT_SIZE, "%016llx%016llx",
		 (unsigned long long)id.hi, (unsigned long long)id.lo);
}

bool pimento_reqid_equal(pimento_reqid_t a, pimento_reqid_t b)
{
	return a.hi == b.hi && a.lo == b.lo;
}

bool pimento_key_equal(pimento_key_t a, pimento_key_t b)
{
	return a.hi == b.hi && a.lo == b.lo;
}

bool pimento_key_is_none(pimento_key_t key)
{
	return !key.hi && !key.lo;
}

void pimento_random_init(pimento_random_t *random, uint64_t seed)
{
	random->state = seed;
}

uint64_t pimento_random_next(pimento_random_t *random)
{
	uint64_t z = (random->state += 0x9e3779b97f4a7c15ULL);

	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
	z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
	return z ^ (z >> 31);
}

uint64_t pimento_random_below(pimento_random_t *random, uint64_t bound)
{
	return pimento_random_next(random) % bound;
}

double pimento_random_unit(pimento_random_t *random)
{
	return (double)(pimento_random_next(random) >> 11) * 0x1.0p-53;
}
