#ifndef SLOPE_H
#define SLOPE_H

/*
 * What the parts of the slopes tool share: the table that it prints, the
 * processor clock, and the texts that a platform would publish.
 */

#include "../pimentoshelf.h"

/* One line of the table: section, what, its size, and the value. */
void slope_row(const char *section, const char *what, uint64_t size,
	       double value, const char *unit);

/* Processor time of this process in nanoseconds. */
double slope_cpu(void);

/* Bytes that the process holds in its heap now. */
double slope_heap(void);

/* Bytes of memory that the system has given to the process. */
double slope_resident(void);

/*
 * A valid configuration with this many endpoints of four models, and
 * contracts, then comments, until it is about size bytes long. change varies
 * one line of it.
 * The caller frees the text.
 */
char *slope_config(uint32_t endpoints, size_t size, uint32_t change);

/* A host list of entry hosts named "host-N". The caller frees the text. */
char *slope_hosts(uint32_t count, uint64_t revision);

/* The sections. */
void slope_wire(void);
void slope_tables(void);
void slope_request(void);
void slope_gossip(void);
void slope_change(void);
void slope_loss(void);
void slope_reads(void);

/* Repeats one operation, for counting its instructions from outside. */
int slope_repeat(const char *operation, uint32_t size, uint32_t times);
void slope_repeat_request(uint32_t endpoints, uint32_t times, bool keyed);

#endif
