/*
 * The alternative to claims: one home host for each key, which lends the right
 * to dispatch for a time. It is modelled kindly: clocks agree, messages are
 * never lost, the home host never fails and learns of a dispatch at once. An
 * entry looks at its lease right before it dispatches; the only fault is that
 * it may be paused in between.
 *
 * Each of these must fail:
 *	(none)		two entries dispatch
 *	FENCED		the endpoint refuses a fencing number older than one
 *			it has seen; the older lease may still arrive first,
 *			and then the newer one is no older
 * ENDPOINT_KEY must pass: the endpoint itself refuses a key that it has run.
 * With ENDPOINT_RESTART it forgets, and must fail.
 */

#define NE 2

#define ASKING 0
#define LENT 1
#define CHECKED 2
#define ENDED 3

byte step[NE];
byte lease[NE]; /* fencing number, 0 none */
byte holder; /* entry + 1, 0 none */
byte last; /* fencing number given out last */
bool told; /* the home host knows of a dispatch */

byte seen; /* by the endpoint: newest fencing number */
bool has_run; /* remembered by the endpoint */
byte runs;

inline arrive(e)
{
	if
#ifdef FENCED
	:: lease[e] < seen
#endif
#ifdef ENDPOINT_KEY
	:: has_run
#endif
	:: else ->
		seen = lease[e];
		has_run = true;
		runs++;
		told = true
	fi;
	assert(runs <= 1)
}

#define ENTRY(e) \
	:: d_step { step[e] == ASKING && !holder && !told && last < 3 -> \
		last++; \
		lease[e] = last; \
		holder = e + 1; \
		step[e] = LENT } \
	:: d_step { holder == e + 1 -> holder = 0 } /* the lease expires */ \
	:: d_step { step[e] == LENT && holder == e + 1 -> step[e] = CHECKED } \
	:: d_step { step[e] == LENT && holder != e + 1 -> step[e] = ASKING } \
	:: d_step { step[e] == CHECKED -> arrive(e); step[e] = ENDED }

init {
end:
	do
	ENTRY(0)
	ENTRY(1)
#ifdef ENDPOINT_RESTART
	:: d_step { has_run -> has_run = false; seen = 0 }
#endif
	od
}
