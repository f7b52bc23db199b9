#include "response.h"

#include "head.h"

#include <string.h>

#define STATUS_MIN 100
#define STATUS_MAX 599

bool response_is_sound(const struct _u_response *response)
{
	const char **names = u_map_enum_keys(response->map_header);

	if (response->status < STATUS_MIN || response->status > STATUS_MAX)
		return false;
	for (; names && *names; names++)
		if (!head_is_token(*names, strlen(*names)))
			return false;
	return true;
}
