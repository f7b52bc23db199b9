#ifndef WIRE_H
#define WIRE_H

/*
 * The encoding of messages between hosts: a frame is four bytes of length,
 * most significant first, and a protobuf envelope of that length.
 */

#include "message.h"

#define WIRE_HEADER_SIZE 4
/* The largest payload: a part or an answer and its fields. */
#define WIRE_PAYLOAD_MAX 32768
#define WIRE_FRAME_MAX (WIRE_HEADER_SIZE + WIRE_PAYLOAD_MAX)

/*
 * Writes a whole frame. Returns its length in bytes, or PIMENTO_EINVAL for a
 * message of no kind, PIMENTO_ETOOBIG if size does not hold it.
 */
int wire_encode(pimento_id_t from, const message_t *message, uint8_t *frame,
		size_t size);

/*
 * Returns the length of the payload that follows the header, or PIMENTO_EPARSE
 * if it is zero or over WIRE_PAYLOAD_MAX: the link must then be closed, as its
 * bytes can no longer be told apart.
 */
int wire_payload_length(const uint8_t header[WIRE_HEADER_SIZE]);

/*
 * Reads a payload. Every count, length and enumeration is checked, so that a
 * malformed frame of a peer cannot reach the rest of the library. Returns 0,
 * PIMENTO_EPARSE or PIMENTO_ENOMEM.
 */
int wire_decode(const uint8_t *payload, size_t length, pimento_id_t *from,
		message_t *message);

#endif
