#ifndef FINGERPRINT_H
#define FINGERPRINT_H

/*
 * Tells whether two requests ask for the same. A client gives each attempt an id
 * of its own; account, method, host, target, body and the fields that describe
 * the prompt stay the same. What is left of its time does not, nor does the event
 * after which a stream is to go on.
 */

#include <stdint.h>

struct exchange;

/* Never 0. The request's body must have been read. */
uint64_t fingerprint(const struct exchange *exchange);

#endif
