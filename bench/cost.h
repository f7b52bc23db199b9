#ifndef COST_H
#define COST_H

#include <stdio.h>

/*
 * Measures on this machine what one decision costs and how it grows, and how
 * many bytes the owners' protocol takes on the wire. Returns 0 or an error.
 */
int cost_report(FILE *table);

#endif
