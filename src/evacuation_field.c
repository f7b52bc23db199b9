#include "evacuation_field.h"

#include <stdio.h>

#define KEY "evacuated"

static int read_name(const fields_source_t *source, const toml_node_t *node,
		     evacuation_known_t *known, const void *context,
		     evacuation_t *evacuated)
{
	char name[PIMENTO_NAME_MAX] = "";
	const char *text = "";
	size_t length = 0;

	if (!toml_string(node, &text, &length))
		return 0; /* reported with the type of the whole array */
	if (!length || length >= sizeof(name)) {
		problems_add(source->problems, source->file, toml_line(node),
			     KEY, "contains a name that is empty or too long");
		return 0;
	}
	snprintf(name, sizeof(name), "%.*s", (int)length, text);
	if (!known(context, name)) {
		problems_add(source->problems, source->file, toml_line(node),
			     KEY, "no endpoint is in the data centre \"%s\"",
			     name);
		return 0;
	}
	return evacuation_begin(evacuated, name, 0);
}

int evacuation_field_read(const fields_source_t *source,
			  const toml_node_t *root, evacuation_known_t *known,
			  const void *context, evacuation_t *evacuated)
{
	const toml_node_t *names = toml_get(root, KEY);

	for (size_t i = 0; i < toml_count(names); i++) {
		int error = read_name(source, toml_at(names, i), known, context,
				      evacuated);

		if (error)
			return error;
	}
	return 0;
}
