/*
 * The claim protocol for issued keys: NE entries with one key, three witnesses
 * that the key names with their incarnations.
 *
 * The network: a question that was sent once is there for ever, and a witness
 * may act on it at any later time or never. That is loss, doubling, reordering
 * and unbounded delay in one. A refusal is not modelled as a message, since a
 * step may also end by its timeout, which may come at any time. A reply that
 * agrees is a bit, which the entry may look at late or never, and only in the
 * step that asked.
 *
 * A pause is that other processes move; the death of an entry is a pause
 * without end. A witness may restart without memory at any time.
 *
 * The query is an oracle that may answer anything: an entry starts with any
 * attempt up to MAXA, and may seal without ever having tried to take (which is
 * what an entry does that could not resume). So safety rests on no query.
 *
 * Broken variants, each of which must fail: NO_MAJORITY, NO_AMNESIA_RULE,
 * NO_SEAL, SEAL_MINORITY, SEAL_IGNORED, SEAL_OVERRIDES, RAISE. REACH must fail
 * too: it shows that a dispatch after a "not run" of an older attempt does
 * occur, so that the properties are not empty. ONLY_DISPATCH checks the one
 * property "at most one dispatch", to see a variant break that as well.
 */

#ifndef NE
#define NE 2
#endif
#ifndef MAXA
#define MAXA 2
#endif
#define NW 3
#define QUORUM 2

#ifdef NO_MAJORITY
#define TAKE_QUORUM 1
#else
#define TAKE_QUORUM QUORUM
#endif
#ifdef SEAL_MINORITY
#define SEAL_QUORUM 1
#else
#define SEAL_QUORUM QUORUM
#endif

#define KNOWN 0
#define TAKING 1
#define TAKEN 2
#define DISPATCHED 3
#define SEALING 4
#define GIVEN_UP 5
#define DOUBT 6

/* Witnesses. */
byte claimant[NW]; /* entry + 1, 0 none */
byte sealed[NW];
bool done[NW];
bool gone[NW]; /* has another incarnation than the key names */

/* Entries. */
byte step[NE];
byte attempt[NE]; /* 0 until the query ended */
byte asked[NE]; /* the attempt that the caller was told */
bool take_sent[NE];
bool seal_sent[NE];
byte agreed[NE]; /* bit per witness, for the step in progress */

/* What happened. */
bool dispatched;
byte dispatched_attempt;
byte not_run; /* the highest attempt of which this was said */

#define COUNT(m) (((m) & 1) + (((m) >> 1) & 1) + (((m) >> 2) & 1))
#define BIT(w) (1 << (w))
#define MAX(a, b) ((a) > (b) -> (a) : (b))

#ifdef SEAL_IGNORED
#define BARRED(w, e) false
#else
#define BARRED(w, e) (sealed[w] >= attempt[e])
#endif

#ifdef SEAL_OVERRIDES
#define MAY_SEAL(w, e) (!done[w])
#else
#define MAY_SEAL(w, e) ((claimant[w] == 0 || claimant[w] == e + 1) && !done[w])
#endif

/* witness.c: take(). A repeat by the holder is agreed to again. */
#define TAKE_FREE(w, e) (take_sent[e] && !gone[w] && claimant[w] == 0 && \
			 !BARRED(w, e))
#define TAKE_AGAIN(w, e) (take_sent[e] && !gone[w] && step[e] == TAKING && \
			  claimant[w] == e + 1 && !(agreed[e] & BIT(w)))
/* witness.c: seal(). */
#define SEAL_NEW(w, e) (seal_sent[e] && !gone[w] && MAY_SEAL(w, e) && \
			(claimant[w] != 0 || sealed[w] < attempt[e] || \
			 (step[e] == SEALING && !(agreed[e] & BIT(w)))))
/* witness.c: done(). */
#define DONE_NEW(w, e) (step[e] == DISPATCHED && !gone[w] && !done[w])

inline agree(w, e, s)
{
	if
	:: step[e] == s -> agreed[e] = agreed[e] | BIT(w)
	:: else
	fi
}

#define ANSWER(e) \
	:: d_step { TAKE_FREE(w, e) -> \
		claimant[w] = e + 1; \
		agree(w, e, TAKING) } \
	:: d_step { TAKE_AGAIN(w, e) -> \
		agree(w, e, TAKING) } \
	:: d_step { SEAL_NEW(w, e) -> \
		claimant[w] = 0; \
		sealed[w] = MAX(sealed[w], attempt[e]); \
		agree(w, e, SEALING) } \
	:: d_step { DONE_NEW(w, e) -> \
		claimant[w] = e + 1; \
		done[w] = true }

proctype witness(byte w)
{
end:
	do
	ANSWER(0)
	ANSWER(1)
#if NE > 2
	ANSWER(2)
#endif
#if NE > 3
	ANSWER(3)
#endif
	:: d_step { !gone[w] && (claimant[w] || sealed[w]) ->
		claimant[w] = 0;
		sealed[w] = 0;
		done[w] = false;
#ifndef NO_AMNESIA_RULE
		gone[w] = true
#endif
		}
	od
}

inline begin(e, s)
{
	agreed[e] = 0;
	step[e] = s
}

/* claim.c: decide_seal_step() */
inline give_up(e)
{
#ifndef ONLY_DISPATCH
	assert(!dispatched || dispatched_attempt > asked[e]);
#endif
	not_run = MAX(not_run, asked[e]);
	begin(e, GIVEN_UP)
}

/* claim.c: claim_seal(), and decide_take_step() when it cannot win */
inline start_seal(e)
{
#ifdef NO_SEAL
	give_up(e)
#else
	seal_sent[e] = true;
	begin(e, SEALING)
#endif
}

/* daemon: the one-way step, taken on CLAIM_WON only */
inline dispatch(e)
{
	assert(!dispatched);
#ifndef ONLY_DISPATCH
	assert(asked[e] > not_run);
#endif
#ifdef REACH
	assert(!not_run);
#endif
	dispatched = true;
	dispatched_attempt = asked[e];
	begin(e, DISPATCHED)
}

proctype entry(byte e)
{
end:
	do
	:: d_step { step[e] == KNOWN ->
		take_sent[e] = true;
		begin(e, TAKING) }
	:: d_step { step[e] == KNOWN -> start_seal(e) }
	:: d_step { step[e] == TAKING && COUNT(agreed[e]) >= TAKE_QUORUM ->
		begin(e, TAKEN) }
	:: d_step { step[e] == TAKING -> start_seal(e) }
#ifdef RAISE
	:: d_step { step[e] == TAKING && attempt[e] < MAXA ->
		attempt[e]++;
		begin(e, TAKING) }
#endif
	:: d_step { step[e] == TAKEN -> dispatch(e) }
	:: d_step { step[e] == TAKEN -> start_seal(e) }
	:: d_step { step[e] == SEALING && COUNT(agreed[e]) >= SEAL_QUORUM ->
		give_up(e) }
	:: d_step { step[e] == SEALING -> begin(e, DOUBT) }
	od
}

init {
	byte i;
	byte n;

	atomic {
		for (i : 0 .. NE - 1) {
			select (n : 1 .. MAXA);
			attempt[i] = n;
			asked[i] = n
		}
		for (i : 0 .. NW - 1) {
			run witness(i)
		}
		for (i : 0 .. NE - 1) {
			run entry(i)
		}
	}
}
