#ifndef EVACUATION_H
#define EVACUATION_H

/*
 * The data centres that operators have evacuated: no new requests are sent to
 * endpoints there, while those that run end undisturbed. An evacuation lasts
 * until operators take it back. Several may be in force at once, and a data
 * centre may be evacuated before any endpoint of it is known.
 */

#include "../pimentoshelf.h"

typedef struct evacuation_entry {
	char datacentre[PIMENTO_NAME_MAX];
	pimento_usec_t since; /* when this host learnt of it */
} evacuation_entry_t;

typedef struct evacuation {
	evacuation_entry_t *entries;
	uint32_t count;
} evacuation_t;

void evacuation_init(evacuation_t *evacuation);
void evacuation_finish(evacuation_t *evacuation);

/*
 * Returns 0, also if the data centre is evacuated already; PIMENTO_EINVAL for a
 * name that is empty or too long; or PIMENTO_ENOMEM.
 */
int evacuation_begin(evacuation_t *evacuation, const char *datacentre,
		     pimento_usec_t now);
/* Returns false if the data centre was not evacuated. */
bool evacuation_end(evacuation_t *evacuation, const char *datacentre);

bool evacuation_includes(const evacuation_t *evacuation,
			 const char *datacentre);

#endif
