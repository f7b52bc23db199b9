#ifndef CONFIG_DIFF_H
#define CONFIG_DIFF_H

/*
 * Describes in sentences what a new configuration changes and which callers are
 * affected, for an operator to read before the configuration is published.
 */

#include "config.h"
#include "strbuf.h"

/*
 * Appends the changes from old_config to new_config to text, one sentence on
 * each line; nothing if no caller is affected. Returns the number of changes, or
 * PIMENTO_ENOMEM.
 */
int config_diff(const pimento_config_t *old_config,
		const pimento_config_t *new_config, strbuf_t *text);

#endif
