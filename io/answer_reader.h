#ifndef ANSWER_READER_H
#define ANSWER_READER_H

/*
 * Reads an answer as it arrives at the caller's side: whole, or as a stream of
 * server-sent events, cut anywhere into pieces. Says whether it is whole, and
 * the verdict where the answer itself carries one.
 */

#include "../src/strbuf.h"

#define ANSWER_BYTES_MAX ((size_t)64 * 1048576) /* of a whole answer */
#define ANSWER_LINE_MAX ((size_t)1048576) /* of a streamed event */

/* Takes a piece of the answer's text, for instance to print it. */
typedef void answer_sink_t(void *context, const char *bytes, size_t length);

typedef struct answer_reader {
	bool stream; /* an error comes whole even where a stream is wanted */
	bool begun;
	bool done; /* the stream's end mark was read */
	bool failed; /* too long, or no memory */
	strbuf_t pending; /* a line, or the whole answer */
	char verdict[16]; /* of an error in it; "" none */
	char message[200]; /* of that error */
	answer_sink_t *sink; /* pieces of a stream */
	void *context;
} answer_reader_t;

void answer_reader_init(answer_reader_t *reader, bool stream,
			answer_sink_t *sink, void *context);
void answer_reader_finish(answer_reader_t *reader);

/* Takes bytes as they came; returns false if no more can be taken. */
bool answer_reader_feed(answer_reader_t *reader, const char *bytes,
			size_t length);

/*
 * Ends a whole answer: hands the text of a completion, or any other body as it
 * is, to the sink; of an error it keeps verdict and message instead.
 */
void answer_reader_end(answer_reader_t *reader);

#endif
