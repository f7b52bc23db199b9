#ifndef CONTROL_H
#define CONTROL_H

/*
 * The control thread: owns the host's state and the links, and is the only one
 * to touch them. Other threads hand it a command and wait for it to be done.
 */

#include "burn.h"
#include "call.h"
#include "host.h"
#include "link.h"
#include "settings.h"

typedef struct control control_t;

typedef struct control_command {
	void (*run)(control_t *control, void *argument);
	void *argument;
	bool done;
	struct control_command *next;
} control_command_t;

/* Counters that threads other than the control thread keep. */
typedef struct control_counters {
	atomic_ullong platform_calls;
	atomic_ullong platform_failures;
	atomic_ullong answers_whole;
	atomic_ullong callers_refused;
} control_counters_t;

struct control {
	link_handler_t handler; /* first: links call back through it */
	const settings_t *settings;
	uint64_t incarnation;
	pimento_host_t *host;
	links_t links;
	call_t **calls; /* by the low half of the handle */
	uint32_t calls_max;
	int wake[2]; /* a pipe, so that poll() sees commands */
	pthread_mutex_t lock;
	pthread_cond_t done;
	control_command_t *first;
	control_command_t **last;
	bool closed; /* no command is run any more */
	atomic_bool leaving;
	atomic_bool stopped;
	atomic_uint answering; /* callers who still read their answers */
	pimento_usec_t leave_at; /* 0: not asked to leave */
	pimento_usec_t end_at; /* not before; 0: the peers were not told */
	pimento_usec_t stop_at;
	pimento_usec_t next_links;
	control_counters_t counters;
	burn_t burn;
};

/* settings are borrowed. Returns 0, PIMENTO_EIO or PIMENTO_ENOMEM. */
int control_init(control_t *control, const settings_t *settings);
void control_finish(control_t *control);

/* Runs until the graceful stop is complete; the caller's thread is the
 * control thread. Returns how many requests were cut by the stop's limit. */
uint32_t control_run(control_t *control);

/* Async-signal-safe: asks for the graceful stop. Repeats change nothing. */
void control_stop(control_t *control);

/* Runs a function in the control thread and waits for its end. */
void control_call(control_t *control,
		  void (*run)(control_t *control, void *argument),
		  void *argument);

/* What traffic threads need of the host. */
int control_submit(control_t *control, call_t *call,
		   const pimento_request_t *request);
int control_commit(control_t *control, call_t *call);
void control_event(control_t *control, call_t *call,
		   const pimento_event_t *event);

/* A reference to the configuration in force, or NULL. */
pimento_config_t *control_config(control_t *control);

#endif
