#ifndef EVACUATION_FIELD_H
#define EVACUATION_FIELD_H

/*
 * The key "evacuated" of a configuration and of a questionnaire: an array of the
 * names of evacuated data centres.
 */

#include "evacuation.h"
#include "fields.h"

#define EVACUATION_FIELD                                              \
	{                                                             \
		"evacuated", FIELD_STRING_ARRAY, false, 0, 0, 0, NULL \
	}

/* Tells whether some endpoint is in the data centre. */
typedef bool evacuation_known_t(const void *context, const char *datacentre);

/*
 * Reads the key; an empty name, and a data centre without endpoints, are reported
 * as errors. Returns 0, also if errors were reported, or PIMENTO_ENOMEM.
 */
int evacuation_field_read(const fields_source_t *source,
			  const toml_node_t *root, evacuation_known_t *known,
			  const void *context, evacuation_t *evacuated);

#endif
