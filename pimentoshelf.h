#ifndef PIMENTOSHELF_H
#define PIMENTOSHELF_H

/*
 * pimentoshelf schedules requests between callers and unlike endpoints: model
 * engines, which batch and stream, and plain services. This header is the
 * manual of the scheduling library. The library does no I/O, reads no clock,
 * starts no thread and uses no system randomness: time, messages and events
 * are passed in, and the actions to perform are returned. The daemon, the tests
 * and the benchmarks link the same object code.
 *
 * A program runs one pimento_host_t per entry host (a host that accepts
 * requests from callers). The functions are not thread-safe: one thread, the
 * control thread, makes all calls for a host.
 *
 *	pimento_host_init()		once, with a seed and an identity
 *	pimento_host_submit()		for each request of a caller
 *	pimento_host_receive()		for each message of a peer
 *	pimento_host_event()		for each event of a dispatched request
 *	pimento_host_tick()		when pimento_host_deadline() is due
 *	pimento_host_next_action()	after each of these calls, until it
 *					returns 0, to get the actions to perform
 *	pimento_host_finish()		once
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define PIMENTO_VERSION "0.1.0"

/* Monotonic time, or a time span, in microseconds. */
typedef int64_t pimento_usec_t;

#define PIMENTO_MSEC ((pimento_usec_t)1000)
#define PIMENTO_SEC ((pimento_usec_t)1000000)
#define PIMENTO_NEVER INT64_MAX

#define PIMENTO_TIERS_MAX 8
#define PIMENTO_NAME_MAX 48
#define PIMENTO_WITNESSES_MAX 5

/*
 * Whether a request has been executed by an endpoint. Once a request may have
 * been sent to an endpoint, its failure is reported with a verdict, never with
 * an error number alone.
 *
 * PIMENTO_NOT_RUN is a guarantee: the request has not run and never will, so
 * the caller can safely retry it. PIMENTO_MAY_HAVE_RUN guarantees nothing.
 */
typedef enum pimento_verdict {
	PIMENTO_NOT_RUN = 0,
	PIMENTO_MAY_HAVE_RUN = 1,
	PIMENTO_RAN = 2,
} pimento_verdict_t;

/* Returns "not-run", "may-have-run" or "ran"; never NULL. */
const char *pimento_verdict_name(pimento_verdict_t verdict);

/* Error numbers are negative; zero is success. See pimento_strerror(). */
enum {
	PIMENTO_OK = 0,
	PIMENTO_EINVAL = -1, /* an argument is invalid or out of range */
	PIMENTO_ENOMEM = -2, /* memory allocation failed */
	PIMENTO_EFULL = -3, /* a table of fixed capacity is full */
	PIMENTO_ENOTFOUND = -4, /* the requested object does not exist */
	PIMENTO_ESTALE = -5, /* outdated revision, epoch or incarnation */
	PIMENTO_EPARSE = -6, /* the text or frame is malformed */
	PIMENTO_EDEADLINE = -7, /* cannot finish before its deadline */
	PIMENTO_EBUSY = -8, /* displaced by other work, or queued behind it */
	PIMENTO_EUNREACHABLE = -9, /* no endpoint or peer can be reached */
	PIMENTO_ECLAIMED = -10, /* the key is claimed by another dispatch */
	PIMENTO_ESEALED = -11, /* this attempt of the key was abandoned */
	PIMENTO_EEXPIRED = -12, /* the key is past its retention period */
	PIMENTO_EMISMATCH = -13, /* the key was used with another body */
	PIMENTO_ENOQUORUM = -14, /* too few witnesses answered */
	PIMENTO_EAUTH = -15, /* unknown account or forged key */
	PIMENTO_ETOOBIG = -16, /* over a size limit */
	PIMENTO_ELEAVING = -17, /* this host or endpoint is leaving */
	PIMENTO_EENDPOINT = -18, /* the endpoint failed during the answer */
	PIMENTO_EUNREADY = -19, /* no confirmed configuration to serve under */
	PIMENTO_ECANCELLED = -20, /* the caller disconnected */
	PIMENTO_EIO = -21, /* input or output failed */
	PIMENTO_EDUPLICATE = -22, /* already received */
};

/* Returns a short lower-case description of an error number; never NULL. */
const char *pimento_strerror(int error);

/* Identity of a host, an endpoint or an account: the hash of its name. */
typedef uint64_t pimento_id_t;

/*
 * Returns the identity of a name, which is case-sensitive. Never returns zero,
 * which stands for "none".
 */
pimento_id_t pimento_id(const char *name);

/*
 * Identifies one request for its whole lifetime, uniquely over all hosts: hi is
 * the incarnation of the entry host that accepted it, lo its handle there.
 */
typedef struct pimento_reqid {
	uint64_t hi;
	uint64_t lo;
} pimento_reqid_t;

/* Hash of an account and an idempotency key. All zero: the request has no key. */
typedef struct pimento_key {
	uint64_t hi;
	uint64_t lo;
} pimento_key_t;

/* Handle of a table entry: generation and index. Zero is never valid. */
typedef uint64_t pimento_handle_t;

#define PIMENTO_REQID_TEXT_SIZE 33

/* Writes a request id as 32 hexadecimal digits and a NUL into text. */
void pimento_reqid_format(pimento_reqid_t id,
			  char text[PIMENTO_REQID_TEXT_SIZE]);

bool pimento_reqid_equal(pimento_reqid_t a, pimento_reqid_t b);
bool pimento_key_equal(pimento_key_t a, pimento_key_t b);
bool pimento_key_is_none(pimento_key_t key);

/*
 * Seeded pseudo-random generator (splitmix64). Not for secrets: the daemon
 * takes those, and every incarnation, from the operating system.
 */
typedef struct pimento_random {
	uint64_t state;
} pimento_random_t;

void pimento_random_init(pimento_random_t *random, uint64_t seed);
uint64_t pimento_random_next(pimento_random_t *random);
/* Returns a uniform random integer in [0, bound); bound must not be zero. */
uint64_t pimento_random_below(pimento_random_t *random, uint64_t bound);
/* Returns a uniform random number in [0, 1). */
double pimento_random_unit(pimento_random_t *random);

/*
 * An immutable configuration, reference-counted; defined in src/config.h. Code
 * that serves a request holds a reference to the configuration under which the
 * request was accepted. Both functions accept NULL and are thread-safe.
 */
struct pimento_config;
struct message;
struct hostlist;

struct pimento_config *pimento_config_ref(struct pimento_config *config);
void pimento_config_unref(struct pimento_config *config);

#define PIMENTO_SECRET_SIZE 32

typedef struct pimento_host_options {
	const char *name; /* this host's name in the host list; not copied */
	uint64_t incarnation; /* random and nonzero, new at every start */
	uint64_t seed; /* of the host's random generators */
	int64_t wall_msec; /* wall clock at the start, ms since the epoch */
	uint8_t secret[PIMENTO_SECRET_SIZE]; /* authenticates issued keys */
	uint32_t
		requests_max; /* hard cap on requests in progress; 0: default */
	uint32_t waiting_max; /* hard cap on queued reservations; 0: default */
	uint32_t keys_max; /* hard cap on keys witnessed here; 0: default */
	/* bound on the wall clocks' difference between hosts; 0: the default */
	pimento_usec_t clock_skew_max;
} pimento_host_options_t;

/* One request of a caller, with the terms of its contract filled in. */
typedef struct pimento_request {
	/*
	 * revision of the configuration that account, target and tier were
	 * taken from; 0: not checked
	 */
	uint64_t config_revision;
	pimento_id_t account;
	bool is_model; /* target is a model, else a plain service */
	char target[PIMENTO_NAME_MAX]; /* the model's or the service's name */
	uint8_t tier; /* priority rank, 0 is the most urgent */
	pimento_usec_t client_timeout; /* span until the caller's deadline */
	bool repeatable; /* false: rejected without an idempotency key */
	uint32_t prompt_tokens; /* estimated prompt length */
	uint32_t answer_tokens; /* estimated answer length */
	uint64_t prefix; /* hash of the prompt's beginning; 0: none */
	uint64_t digest; /* hash of the complete request body */
	const char *key; /* idempotency key, read during the call; or NULL */
	uint32_t attempt; /* the caller's attempt with the key; 0: not given */
	int64_t wall_msec; /* wall clock now, ms, to compute the key's age */
} pimento_request_t;

typedef enum pimento_action_kind {
	PIMENTO_ACTION_NONE = 0,
	PIMENTO_ACTION_SEND, /* send the message to the peer */
	PIMENTO_ACTION_DISPATCH, /* connect to the endpoint and call
				    pimento_host_commit() before sending */
	PIMENTO_ACTION_RESUME, /* resume the endpoint's stream after the last
				  byte that the caller has received */
	PIMENTO_ACTION_REPLAY, /* send the stored answer of an earlier call
				  with the same key; ends the request */
	PIMENTO_ACTION_REFUSE, /* send the error; ends the request */
	PIMENTO_ACTION_CANCEL, /* cancel the stream at the endpoint */
	PIMENTO_ACTION_END, /* the request ended; its handle is invalid */
	PIMENTO_ACTION_CONFIG_CHANGED, /* a new configuration is in force */
	PIMENTO_ACTION_HOSTS_CHANGED, /* a new host list is in force */
	PIMENTO_ACTION_UPDATE_REJECTED, /* see pimento_host_update_errors() */
} pimento_action_kind_t;

/* An action to perform. The comments name the kinds that set each field. */
typedef struct pimento_action {
	pimento_action_kind_t kind;
	pimento_id_t peer; /* SEND: the receiver */
	const struct message *message; /* SEND: valid until the next call */
	pimento_handle_t request; /* DISPATCH, RESUME, REPLAY, REFUSE,
				     CANCEL, END */
	pimento_id_t endpoint; /* DISPATCH, RESUME, CANCEL */
	pimento_reqid_t stream; /* DISPATCH, RESUME, CANCEL: the id under which
				   the endpoint runs the request */
	pimento_verdict_t verdict; /* REFUSE */
	int error; /* REFUSE: a PIMENTO_E* number */
	pimento_usec_t retry_after; /* REFUSE: span; 0: retrying is useless */
	uint32_t attempt; /* REFUSE: the key's attempt; 0: no key or unknown */
	uint32_t next_attempt; /* REFUSE: lowest attempt of the key that can
				  still run; 0: no key */
	uint16_t status; /* REPLAY: HTTP status */
	uint8_t *answer; /* REPLAY: the body; the receiver calls free() */
	size_t answer_size; /* REPLAY: bytes of the body */
} pimento_action_t;

typedef enum pimento_event_kind {
	PIMENTO_EVENT_UNREACHABLE = 1, /* connecting failed, nothing was sent */
	PIMENTO_EVENT_TOKENS, /* tokens of the answer arrived */
	PIMENTO_EVENT_DONE, /* the complete answer arrived */
	PIMENTO_EVENT_CONNECTION_LOST, /* the connection to the endpoint broke
					  after the commit */
	PIMENTO_EVENT_STREAM_UNKNOWN, /* the endpoint has no such stream */
	PIMENTO_EVENT_CALLER_DISCONNECTED, /* the caller closed its connection */
} pimento_event_kind_t;

typedef struct pimento_event {
	pimento_event_kind_t kind;
	uint32_t tokens; /* TOKENS, DONE: tokens of the answer so far */
	pimento_usec_t last_token_at; /* TOKENS, DONE: arrival time of the last
					 token; 0: now */
	uint16_t status; /* DONE: HTTP status */
	const uint8_t *answer; /* DONE: complete body, to be stored for replay;
				  NULL if too large to store */
	size_t answer_size; /* DONE: bytes of the body */
} pimento_event_t;

typedef struct pimento_host pimento_host_t;

/*
 * Returns the size of pimento_host_t in bytes. The program allocates the
 * structure, and frees it after pimento_host_finish(). It is defined in
 * src/host.h for programs that embed it in a structure of their own.
 */
size_t pimento_host_size(void);

/*
 * Initialises a host. Returns 0, PIMENTO_EINVAL for a missing name or
 * incarnation, or PIMENTO_ENOMEM. After an error nothing needs to be freed.
 */
int pimento_host_init(pimento_host_t *host,
		      const pimento_host_options_t *options,
		      pimento_usec_t now);
void pimento_host_finish(pimento_host_t *host);

/*
 * Accepts a request. Returns 0, and sets *id and *handle; the handle is valid
 * until the request's last action (REFUSE, REPLAY or END). On an error the
 * request was not accepted, and the verdict for this call is "not run":
 *
 *	PIMENTO_EFULL		requests_max requests are in progress
 *	PIMENTO_EUNREADY	no configuration yet, or one that is unconfirmed
 *				since this process was paused
 *	PIMENTO_ESTALE		request->config_revision is no longer in force:
 *				determine the terms again and resubmit
 *	PIMENTO_ELEAVING	this host is leaving
 *	PIMENTO_EAUTH		the key is forged
 *	PIMENTO_EPARSE		the key is malformed
 *	PIMENTO_EINVAL		tier or client_timeout out of range, or a request
 *				that is not repeatable came without a key
 *	PIMENTO_ENOQUORUM	too few hosts are listed as witnesses of the key
 *	PIMENTO_ENOMEM		memory allocation failed
 */
int pimento_host_submit(pimento_host_t *host, pimento_usec_t now,
			const pimento_request_t *request,
			pimento_handle_t *handle, pimento_reqid_t *id);

/*
 * Checks that a decision made under the configuration of this revision may
 * still be carried out. Returns 0, PIMENTO_EUNREADY or PIMENTO_ESTALE as
 * pimento_host_submit() does.
 */
int pimento_host_check_config(pimento_host_t *host, pimento_usec_t now,
			      uint64_t revision);

/*
 * Commits a dispatch. To be called when the connection to the endpoint is
 * established, before the first byte is sent. Returns 0: send the request; from
 * here on it counts as possibly run. Returns an error: close the connection
 * without sending; the host itself reports the request's outcome.
 */
int pimento_host_commit(pimento_host_t *host, pimento_usec_t now,
			pimento_handle_t handle);

/*
 * Reports progress or the end of a dispatch, or that the caller disconnected.
 * Handles of requests that have ended are ignored.
 */
void pimento_host_event(pimento_host_t *host, pimento_usec_t now,
			pimento_handle_t handle, const pimento_event_t *event);

/*
 * Processes a message from a peer; its content may be arbitrary.
 * Returns 0, or PIMENTO_EINVAL if the message is not acceptable.
 */
int pimento_host_receive(pimento_host_t *host, pimento_usec_t now,
			 pimento_id_t from, const struct message *message);

/*
 * Submits a text that was read from the platform: the host list if hosts is
 * true, else the configuration. Returns 0 if it is now in force. Otherwise the
 * last accepted text stays in force: PIMENTO_ESTALE if the revision is not
 * newer or was already rejected, PIMENTO_EPARSE if the text is invalid,
 * PIMENTO_ETOOBIG, PIMENTO_EBUSY or PIMENTO_ENOMEM.
 */
int pimento_host_apply_update(pimento_host_t *host, pimento_usec_t now,
			      bool hosts, uint64_t revision, const char *text,
			      size_t length);

/*
 * Reports that the platform answered a read that was started at read_started,
 * with a text or with "nothing newer". After this process was paused, that
 * can confirm the revisions in force; a read from before the pause cannot.
 */
void pimento_host_confirm_current(pimento_host_t *host, pimento_usec_t now,
				  pimento_usec_t read_started);

/*
 * Returns how this host should read the platform now: true for a blocking
 * watch, false for polling every *interval microseconds.
 */
bool pimento_host_should_watch_platform(const pimento_host_t *host,
					pimento_usec_t *interval);

/*
 * Fills in a probe, the first message to a peer of which only the address is
 * known. The peer's ack carries its identity and revisions.
 */
void pimento_host_fill_probe(const pimento_host_t *host,
			     struct message *message);

/*
 * Processes a load report that an endpoint made about itself: requests running
 * and waiting there, and tokens still to be generated for them. age is how old
 * the report was when it arrived. The incarnation (0: not stated) distinguishes
 * a restarted endpoint process from the one that was leaving.
 */
void pimento_host_report_load(pimento_host_t *host, pimento_usec_t now,
			      pimento_id_t endpoint, uint32_t running,
			      uint32_t waiting, uint32_t tokens_left,
			      pimento_usec_t age, bool leaving,
			      uint64_t incarnation);

/*
 * Starts to drain this host, irrevocably: it accepts no new requests and hands
 * the endpoints that it owns over to other hosts.
 */
void pimento_host_leave(pimento_host_t *host, pimento_usec_t now);

/*
 * Refuses the requests that have not been dispatched, as this host is about to
 * end. For one with a key "not run" takes an answer of the key's witnesses, so
 * that this is to be called some round trips before the end.
 */
void pimento_host_refuse_waiting(pimento_host_t *host, pimento_usec_t now);

/* Returns the number of callers' requests in progress on this host. */
uint32_t pimento_host_active_requests(const pimento_host_t *host);

/* Handles the time-outs and periodic work that are due. */
void pimento_host_tick(pimento_host_t *host, pimento_usec_t now);

/* Returns the time at which pimento_host_tick() is due, or PIMENTO_NEVER. */
pimento_usec_t pimento_host_deadline(const pimento_host_t *host);

/* Removes the next action from the queue. Returns 1, or 0 if it is empty. */
int pimento_host_next_action(pimento_host_t *host, pimento_action_t *action);

/*
 * Returns the configuration in force, or NULL before the first. To use it after
 * the next call of the host, take a reference with pimento_config_ref().
 */
struct pimento_config *pimento_host_config(const pimento_host_t *host);

/* Returns the host list in force, owned by the host; empty before the first. */
const struct hostlist *pimento_host_hostlist(const pimento_host_t *host);

/*
 * Returns the errors found in the last published text that was rejected, one
 * per line, and sets *revision to its revision. Returns NULL if none was
 * rejected. The string belongs to the host and is valid until the next
 * rejection. Validation depends on the text alone, so all hosts report the
 * same errors.
 */
const char *pimento_host_update_errors(const pimento_host_t *host,
				       uint64_t *revision);

/*
 * Returns true if a load balancer should send callers to this host: a current
 * configuration is in force, the host is not leaving, and it has either found
 * enough peers to issue idempotency keys or run for 3 s without finding them.
 */
bool pimento_host_ready(const pimento_host_t *host, pimento_usec_t now);

/*
 * Returns false after this process was paused, until its peers or the platform
 * have confirmed that its configuration and host list are current.
 */
bool pimento_host_is_current(const pimento_host_t *host);

/*
 * Issues an idempotency key, an authenticated text that names its witnesses.
 * wall_msec is the wall clock in milliseconds, nonce a random number. Returns
 * the length of the text, or PIMENTO_ENOQUORUM if too few witnesses are live.
 */
#define PIMENTO_KEY_TEXT_SIZE 256
int pimento_host_issue_key(pimento_host_t *host, pimento_usec_t now,
			   int64_t wall_msec, uint64_t nonce,
			   char text[PIMENTO_KEY_TEXT_SIZE]);

#endif
