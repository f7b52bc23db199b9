#ifndef WIRE_H
#define WIRE_H

/*
 * Encoding of the messages between hosts. A frame is a payload length of four
 * bytes, most significant byte first, and a protobuf envelope of that length.
 */

#include "message.h"

#define WIRE_HEADER_SIZE 4
/* Maximum payload in bytes: a MESSAGE_PART or a stored answer, with its fields. */
#define WIRE_PAYLOAD_MAX 32768
#define WIRE_FRAME_MAX (WIRE_HEADER_SIZE + WIRE_PAYLOAD_MAX)

/*
 * Encodes a message as one frame, header included. Returns the frame's length in
 * bytes, PIMENTO_EINVAL if the kind or a count of the message is out of range, or
 * PIMENTO_ETOOBIG if the frame exceeds size or WIRE_FRAME_MAX.
 */
int wire_encode(pimento_id_t from, const message_t *message, uint8_t *frame,
		size_t size);

/*
 * Returns the length in bytes of the payload that follows the header, or
 * PIMENTO_EPARSE if it is zero or over WIRE_PAYLOAD_MAX. The link must then be
 * closed, as the start of the next frame is unknown.
 */
int wire_payload_length(const uint8_t header[WIRE_HEADER_SIZE]);

/*
 * Decodes a payload. Every count, length and enumeration is checked, so that
 * values out of range in a peer's frame do not reach the rest of the library.
 * Returns 0, PIMENTO_EPARSE or PIMENTO_ENOMEM.
 */
int wire_decode(const uint8_t *payload, size_t length, pimento_id_t *from,
		message_t *message);

#endif
