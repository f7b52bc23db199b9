#ifndef DIFF_H
#define DIFF_H

/*
 * Says in plain words what a new configuration changes, and for which callers.
 */

#include "config.h"
#include "text.h"

/*
 * Appends one sentence a line; nothing if callers notice no change. Returns
 * the number of changes, or PIMENTO_ENOMEM.
 */
int diff_configs(const pimento_config_t *old_config,
		 const pimento_config_t *new_config, text_t *text);

#endif
