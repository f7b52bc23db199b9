#include "evacuation.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

void evacuation_init(evacuation_t *evacuation)
{
	*evacuation = (evacuation_t){ 0 };
}

void evacuation_finish(evacuation_t *evacuation)
{
	free(evacuation->entries);
	evacuation_init(evacuation);
}

static evacuation_entry_t *find(const evacuation_t *evacuation,
				const char *datacentre)
{
	for (uint32_t i = 0; i < evacuation->count; i++)
		if (strcmp(evacuation->entries[i].datacentre, datacentre) == 0)
			return &evacuation->entries[i];
	return NULL;
}

int evacuation_begin(evacuation_t *evacuation, const char *datacentre,
		     pimento_usec_t now)
{
	evacuation_entry_t *entries;

	if (!*datacentre || strlen(datacentre) >= PIMENTO_NAME_MAX)
		return PIMENTO_EINVAL;
	if (find(evacuation, datacentre))
		return 0;
	entries = realloc(evacuation->entries,
			  (evacuation->count + 1) * sizeof(*entries));
	if (!entries)
		return PIMENTO_ENOMEM;
	evacuation->entries = entries;
	entries += evacuation->count++;
	entries->since = now;
	snprintf(entries->datacentre, sizeof(entries->datacentre), "%s",
		 datacentre);
	return 0;
}

bool evacuation_end(evacuation_t *evacuation, const char *datacentre)
{
	evacuation_entry_t *entry = find(evacuation, datacentre);

	if (!entry)
		return false;
	*entry = evacuation->entries[--evacuation->count];
	return true;
}

bool evacuation_includes(const evacuation_t *evacuation, const char *datacentre)
{
	return find(evacuation, datacentre) != NULL;
}
