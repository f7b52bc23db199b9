#ifndef FRAME_H
#define FRAME_H

/*
 * Frames on the connection of a tunnel between two hosts: a kind, a length of
 * two bytes in network order, and that many bytes. They tell the clean end of
 * the endpoint's connection from an end of the tunnel itself, which would look
 * alike to the asking host, and an answer cut short would look whole.
 */

#include "../src/strbuf.h"

#include <stddef.h>

#define FRAME_HEAD_BYTES 3
#define FRAME_LENGTH_MAX 65535

typedef enum frame_kind {
	FRAME_DATA = 'D', /* bytes to or from the endpoint */
	/* from the asking host */
	FRAME_REQUEST = 'R', /* a request begins; its id */
	FRAME_DONE = 'E', /* its answer has been read */
	/* from the peer that holds the connection to the endpoint */
	FRAME_CLOSED = 'C', /* the endpoint closed its connection */
	FRAME_RESET = 'X', /* it broke */
	FRAME_LEAVING = 'L' /* the peer stops: no further requests */
} frame_kind_t;

/* Adds frames with the bytes; one without bytes if length is 0. */
void frame_write(strbuf_t *text, frame_kind_t kind, const char *bytes,
		 size_t length);

/* A frame, or a part of one, as it was received. */
typedef struct frame {
	frame_kind_t kind;
	const char *bytes; /* borrowed from the input */
	size_t length;
	bool ends; /* no further part follows */
} frame_t;

/* Progress in the frame that is being received; all zero at the start. */
typedef struct frame_reader {
	uint8_t head[FRAME_HEAD_BYTES];
	uint32_t head_length;
	size_t left; /* bytes of the frame still to come */
} frame_reader_t;

/*
 * Takes the next frame or part of one off the input. Returns false if there is
 * none, when all of the input has been taken.
 */
bool frame_read(frame_reader_t *reader, const char **bytes, size_t *length,
		frame_t *frame);

#endif
