#ifndef PIMENTOSHELF_H
#define PIMENTOSHELF_H

/*
 * pimentoshelf schedules requests between callers and unlike endpoints: model
 * engines and plain services. This header is the manual of the library that
 * decides. The library does no I/O, reads no clock, starts no thread and draws
 * no randomness: time and messages come in as arguments, messages and verdicts
 * go out. The daemon, the tests and the benches drive the same object code.
 *
 * A program drives one pimento_host_t per entry host:
 *
 *	pimento_host_init()		once, with a seed and an identity
 *	pimento_host_submit()		for each request of a caller
 *	pimento_host_receive()		for each message of a peer
 *	pimento_host_event()		for what became of a dispatch
 *	pimento_host_tick()		when pimento_host_deadline() is due
 *	pimento_host_next()		after each of these, until it returns 0,
 *					to learn what to do
 *	pimento_host_finish()		once
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define PIMENTO_VERSION "0.1.0"

/* Time in microseconds of a clock that never goes back (units: 1 us). */
typedef int64_t pimento_usec_t;

#define PIMENTO_MSEC ((pimento_usec_t)1000)
#define PIMENTO_SEC ((pimento_usec_t)1000000)
#define PIMENTO_NEVER INT64_MAX

#define PIMENTO_TIERS_MAX 8
#define PIMENTO_NAME_MAX 48
#define PIMENTO_WITNESSES_MAX 5

/*
 * What is known of whether a request has run. A function that may have let a
 * request out of this process returns a verdict, never a bare error number.
 *
 * PIMENTO_NOT_RUN is a promise: the request has not run and never will, so the
 * caller can safely try again. PIMENTO_MAY_HAVE_RUN promises nothing.
 */
typedef enum pimento_verdict {
	PIMENTO_NOT_RUN = 0,
	PIMENTO_MAY_HAVE_RUN = 1,
	PIMENTO_RAN = 2,
} pimento_verdict_t;

/* Returns "not-run", "may-have-run" or "ran"; never NULL. */
const char *pimento_verdict_name(pimento_verdict_t verdict);

/* Errors are negative; zero is success. pimento_strerror() names them. */
enum {
	PIMENTO_OK = 0,
	PIMENTO_EINVAL = -1, /* an argument is out of its range */
	PIMENTO_ENOMEM = -2, /* memory could not be had */
	PIMENTO_EFULL = -3, /* a bounded table is full */
	PIMENTO_ENOTFOUND = -4, /* no such thing */
	PIMENTO_ESTALE = -5, /* of an older revision, epoch or incarnation */
	PIMENTO_EPARSE = -6, /* the text or frame is malformed */
	PIMENTO_ELATE = -7, /* cannot finish before its deadline */
	PIMENTO_EBUSY = -8, /* displaced by, or waiting behind, other work */
	PIMENTO_EUNREACHABLE = -9, /* no endpoint or peer can be reached */
	PIMENTO_ECLAIMED = -10, /* the key is held by another dispatch */
	PIMENTO_ESEALED = -11, /* this attempt of the key was given up */
	PIMENTO_EEXPIRED = -12, /* the key is older than the retention */
	PIMENTO_EMISMATCH = -13, /* the key was used with another body */
	PIMENTO_ENOQUORUM = -14, /* too few witnesses answer */
	PIMENTO_EAUTH = -15, /* unknown account or forged key */
	PIMENTO_ETOOBIG = -16, /* over a size limit */
	PIMENTO_ELEAVING = -17, /* this host or endpoint is leaving */
	PIMENTO_EENDPOINT = -18, /* the endpoint failed during the answer */
	PIMENTO_EUNREADY = -19, /* no configuration is in force yet */
	PIMENTO_ECANCELLED = -20, /* the caller left */
	PIMENTO_EIO = -21, /* input or output failed */
	PIMENTO_EDUPLICATE = -22, /* said already */
};

/* Returns a short lower-case sentence for an error number; never NULL. */
const char *pimento_strerror(int error);

/* Identity of a host, an endpoint or an account: the hash of its name. */
typedef uint64_t pimento_id_t;

/*
 * Returns the identity of a name. Names are compared byte for byte. Zero is
 * never returned: it stands for "none".
 */
pimento_id_t pimento_id(const char *name);

/*
 * Names one request for its whole life. hi is the incarnation of the entry
 * host that accepted it, lo counts up there, so that no two are alike.
 */
typedef struct pimento_reqid {
	uint64_t hi;
	uint64_t lo;
} pimento_reqid_t;

/* Hash of an account and its idempotency key. All zero: no key. */
typedef struct pimento_key {
	uint64_t hi;
	uint64_t lo;
} pimento_key_t;

/* Handle into a table: index and generation. Zero is never valid. */
typedef uint64_t pimento_handle_t;

#define PIMENTO_REQID_TEXT 33

/* Writes 32 hexadecimal digits and a NUL into text. */
void pimento_reqid_text(pimento_reqid_t id, char text[PIMENTO_REQID_TEXT]);

bool pimento_reqid_equal(pimento_reqid_t a, pimento_reqid_t b);
bool pimento_key_equal(pimento_key_t a, pimento_key_t b);
bool pimento_key_none(pimento_key_t key);

/*
 * Seeded generator of the pure library (splitmix64). Not for secrets: the
 * daemon draws those, and every incarnation, from the system.
 */
typedef struct pimento_random {
	uint64_t state;
} pimento_random_t;

void pimento_random_init(pimento_random_t *random, uint64_t seed);
uint64_t pimento_random_next(pimento_random_t *random);
/* Uniform in [0, bound); bound must not be zero. */
uint64_t pimento_random_below(pimento_random_t *random, uint64_t bound);
/* Uniform in [0, 1). */
double pimento_random_unit(pimento_random_t *random);

#endif
