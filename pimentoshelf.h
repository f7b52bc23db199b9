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
 *	pimento_host_next_action()		after each of these, until it returns 0,
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
	PIMENTO_EDEADLINE = -7, /* cannot finish before its deadline */
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

#define PIMENTO_REQID_TEXT_SIZE 33

/* Writes 32 hexadecimal digits and a NUL into text. */
void pimento_reqid_format(pimento_reqid_t id,
			  char text[PIMENTO_REQID_TEXT_SIZE]);

bool pimento_reqid_equal(pimento_reqid_t a, pimento_reqid_t b);
bool pimento_key_equal(pimento_key_t a, pimento_key_t b);
bool pimento_key_is_none(pimento_key_t key);

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

/*
 * The configuration in force, immutable; defined in src/config.h. A reference
 * keeps it alive while a request that came in under it is in progress.
 */
struct pimento_config;
struct message;
struct hostlist;

struct pimento_config *pimento_config_ref(struct pimento_config *config);
void pimento_config_unref(struct pimento_config *config);

#define PIMENTO_SECRET_SIZE 32

typedef struct pimento_host_options {
	const char *name; /* as the host list has it */
	uint64_t incarnation; /* random, never zero, new at every start */
	uint64_t seed; /* of every choice the host makes */
	int64_t wall_msec; /* wall clock at the start */
	uint8_t secret[PIMENTO_SECRET_SIZE]; /* authenticates issued keys */
	uint32_t requests_max; /* in progress at once, a hard cap */
	uint32_t waiting_max; /* reservations of all entries held here */
	uint32_t keys_max; /* idempotency keys witnessed at once */
	pimento_usec_t
		clock_skew_max; /* bound on clock difference; 0: the default */
} pimento_host_options_t;

/* One request of a caller, after its contract was found. */
typedef struct pimento_request {
	pimento_id_t account;
	bool is_model; /* a model engine's, else a plain service's */
	char target[PIMENTO_NAME_MAX]; /* the model's or the service's name */
	uint8_t tier; /* rank, 0 is the most urgent */
	pimento_usec_t client_timeout; /* span until the caller stops caring */
	bool repeatable; /* false: refused without a key */
	uint32_t prompt_tokens; /* estimate */
	uint32_t answer_tokens; /* estimate */
	uint64_t prefix; /* hash of the prompt's beginning, 0 none */
	uint64_t digest; /* hash of the whole body */
	const char *key; /* idempotency key, NULL none; copied */
	uint32_t attempt; /* of the key, as the caller says; 0 not said */
	int64_t wall_msec; /* wall clock now, for the key's age */
} pimento_request_t;

typedef enum pimento_action_kind {
	PIMENTO_ACTION_NONE = 0,
	PIMENTO_ACTION_SEND, /* message to the peer */
	PIMENTO_ACTION_DISPATCH, /* connect, then pimento_host_commit() */
	PIMENTO_ACTION_RESUME, /* resume the stream where the caller is */
	PIMENTO_ACTION_REPLAY, /* the answer kept from an earlier call */
	PIMENTO_ACTION_REFUSE, /* the final answer of a request */
	PIMENTO_ACTION_CANCEL, /* cancel the stream at the endpoint */
	PIMENTO_ACTION_END, /* the request is over; its handle is no more */
	PIMENTO_ACTION_CONFIG_CHANGED, /* another configuration is in force */
	PIMENTO_ACTION_HOSTS_CHANGED, /* another host list is in force */
	PIMENTO_ACTION_UPDATE_REJECTED, /* see pimento_host_update_errors() */
} pimento_action_kind_t;

typedef struct pimento_action {
	pimento_action_kind_t kind;
	pimento_id_t peer; /* SEND */
	const struct message *message; /* SEND; until the next call */
	pimento_handle_t request; /* all but SEND, CONFIG and HOSTS */
	pimento_id_t endpoint; /* DISPATCH, FOLLOW, CANCEL */
	pimento_reqid_t stream; /* id of the request at the endpoint */
	pimento_verdict_t verdict; /* REFUSE */
	int error; /* REFUSE */
	pimento_usec_t retry_after; /* REFUSE; 0: a repeat is of no use */
	uint32_t attempt; /* REFUSE: of the key, 0 none or not known */
	uint32_t next_attempt; /* REFUSE: that can still run, 0 no key */
	uint16_t status; /* REPLAY */
	uint8_t *answer; /* REPLAY; the receiver calls free() */
	size_t answer_size;
} pimento_action_t;

typedef enum pimento_event_kind {
	PIMENTO_EVENT_UNREACHABLE = 1, /* never connected, nothing was sent */
	PIMENTO_EVENT_TOKENS, /* tokens of the answer arrived */
	PIMENTO_EVENT_DONE, /* the whole answer arrived */
	PIMENTO_EVENT_CONNECTION_LOST, /* the connection broke after the commit */
	PIMENTO_EVENT_STREAM_UNKNOWN, /* the endpoint does not know the stream */
	PIMENTO_EVENT_CALLER_DISCONNECTED, /* the caller left */
} pimento_event_kind_t;

typedef struct pimento_event {
	pimento_event_kind_t kind;
	uint32_t tokens; /* of the answer so far */
	pimento_usec_t last_token_at; /* when it came; 0: with this event */
	uint16_t status; /* DONE: HTTP status */
	const uint8_t *answer; /* DONE: whole answer, if small and kept */
	size_t answer_size;
} pimento_event_t;

typedef struct pimento_host pimento_host_t;

/*
 * Bytes that a host needs; the caller owns them. The structure is defined in
 * src/host.h for those who want it on the stack.
 */
size_t pimento_host_size(void);

/* Returns 0, PIMENTO_EINVAL, PIMENTO_ENOMEM. */
int pimento_host_init(pimento_host_t *host,
		      const pimento_host_options_t *options,
		      pimento_usec_t now);
void pimento_host_finish(pimento_host_t *host);

/*
 * Accepts a request. Returns 0 and a handle that is good until the request's
 * last action (REFUSE, REPLAY or END).
 * Otherwise nothing was taken on and the verdict is "not run" for this call:
 * PIMENTO_EFULL, PIMENTO_EUNREADY (no configuration yet, or one that must
 * be confirmed after a pause), PIMENTO_ELEAVING, PIMENTO_EAUTH (forged
 * key), PIMENTO_EINVAL (a request that may not be repeated, without a key),
 * PIMENTO_ENOQUORUM, PIMENTO_ENOMEM.
 */
int pimento_host_submit(pimento_host_t *host, pimento_usec_t now,
			const pimento_request_t *request,
			pimento_handle_t *handle, pimento_reqid_t *id);

/*
 * The one-way step: called when the connection stands and before the first
 * byte leaves. Returns 0: send now, there is no way back. Negative: close the
 * connection without sending; the host goes on with the request itself.
 */
int pimento_host_commit(pimento_host_t *host, pimento_usec_t now,
			pimento_handle_t handle);

/* Tells what became of a dispatch. Unknown handles are ignored. */
void pimento_host_event(pimento_host_t *host, pimento_usec_t now,
			pimento_handle_t handle, const pimento_event_t *event);

/* A message of a peer. Returns 0 or PIMENTO_EINVAL; it may be anything. */
int pimento_host_receive(pimento_host_t *host, pimento_usec_t now,
			 pimento_id_t from, const struct message *message);

/*
 * A text that the platform gave (hosts: the host list, else the
 * configuration). Returns 0; PIMENTO_ESTALE for an older revision;
 * PIMENTO_EPARSE if it was refused, the last accepted staying in force.
 */
int pimento_host_apply_update(pimento_host_t *host, pimento_usec_t now,
			      bool hosts, uint64_t revision, const char *text,
			      size_t length);

/*
 * The platform answered a read that was begun at this time, with a text or
 * with "nothing newer". After a pause that confirms what is held.
 */
void pimento_host_confirm_current(pimento_host_t *host, pimento_usec_t now,
				  pimento_usec_t read_started);

/*
 * How to read the platform now: true for a blocking watch, false for a plain
 * read every *interval.
 */
bool pimento_host_should_watch(const pimento_host_t *host,
			       pimento_usec_t *interval);

/*
 * Fills the first message on a link to a peer that is known by its address
 * only; its answer tells who it is and what it holds.
 */
void pimento_host_hello(const pimento_host_t *host, struct message *message);

/*
 * An endpoint's own load report, age old when it was received. The incarnation
 * (0: it names none) tells a new process from the one that was leaving.
 */
void pimento_host_report_load(pimento_host_t *host, pimento_usec_t now,
			      pimento_id_t endpoint, uint32_t running,
			      uint32_t waiting, uint32_t tokens_left,
			      pimento_usec_t age, bool leaving,
			      uint64_t incarnation);

/* This host leaves: no new requests, endpoints handed over. One-way. */
void pimento_host_leave(pimento_host_t *host, pimento_usec_t now);

/* Requests of callers in progress here. */
uint32_t pimento_host_active_requests(const pimento_host_t *host);

void pimento_host_tick(pimento_host_t *host, pimento_usec_t now);

/* When pimento_host_tick() is due; PIMENTO_NEVER if it is not. */
pimento_usec_t pimento_host_deadline(const pimento_host_t *host);

/* Takes the next action; 0 when there is none, else 1. */
int pimento_host_next_action(pimento_host_t *host, pimento_action_t *action);

/* The configuration in force, NULL before the first. Not a reference. */
struct pimento_config *pimento_host_config(const pimento_host_t *host);
const struct hostlist *pimento_host_hostlist(const pimento_host_t *host);

/*
 * The mistakes for which a published text was refused last, a line each, and
 * its revision; NULL if none was. All hosts come to the same result.
 */
const char *pimento_host_update_errors(const pimento_host_t *host,
				       uint64_t *revision);

/*
 * True when callers should be sent here: a configuration is in force, what is
 * held was confirmed, this host is not leaving, and it has met enough peers to
 * issue keys, or has waited for them long enough.
 */
bool pimento_host_ready(const pimento_host_t *host, pimento_usec_t now);

/* False from a pause of this process until what it holds was confirmed. */
bool pimento_host_is_current(const pimento_host_t *host);

/*
 * Issues an idempotency key that names its witnesses; nonce is random and
 * wall_msec the wall clock. Returns its length or PIMENTO_ENOQUORUM.
 */
#define PIMENTO_KEY_TEXT_SIZE 256
int pimento_host_issue_key(pimento_host_t *host, pimento_usec_t now,
			   int64_t wall_msec, uint64_t nonce,
			   char text[PIMENTO_KEY_TEXT_SIZE]);

#endif
