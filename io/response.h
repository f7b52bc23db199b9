#ifndef RESPONSE_H
#define RESPONSE_H

/* Answers that the ulfius client has read. */

#include <stdbool.h>
#include <ulfius.h>

/*
 * False if the head is none of HTTP, which the client does not check. Nothing
 * in such an answer is to be believed.
 */
bool response_is_sound(const struct _u_response *response);

#endif
