#ifndef CONFIG_DIFF_H
#define CONFIG_DIFF_H

/*
 * Says in plain words what a new configuration changes, and for which callers.
 */

#include "config.h"
#include "strbuf.h"

/*
 * Appends one sentence a line; nothing if callers notice no change. Returns
 * the number of changes, or PIMENTO_ENOMEM.
 */
int config_diff(const pimento_config_t *old_config,
		const pimento_config_t *new_config, strbuf_t *text);

#endif
