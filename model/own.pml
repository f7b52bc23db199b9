/*
 * The claim protocol for callers' own keys: the witnesses follow from the host
 * list, of which two hosts may hold different revisions. Two entries with one
 * key, N witnesses a list, 2 * QUORUM > N + D.
 *
 * Lists 0, 1 and 2 each replace D of the N witnesses of the one before:
 *
 *	N = 5, D = 2: 01234 | 23456 | 45678
 *	N = 4, D = 1: 0123 | 1234 | 2345
 *
 * When the key is born every host has list 0 or 1 in force. This is the
 * assumption: lists in force at one time since the key's birth differ in at
 * most D witnesses. An entry may ask under any list.
 *
 * A host speaks for a key only in the list that was in force there when the key
 * was born, and only if it has not restarted since. So a host that adopts a
 * newer list or restarts is silent for this key from then on. A host that is
 * silent acts no differently from one that no message reaches any more, which
 * the network of claim.pml allows anyhow. SILENCE models it explicitly; the
 * larger size goes without.
 *
 * There is one attempt, which either entry may seal.
 *
 * Broken variants, each of which must fail: NO_LIST_RULE (a host speaks at once
 * for the list that it adopts), NO_AMNESIA_RULE (a host speaks after a restart),
 * NO_VIEW_CHECK (a host speaks whatever list the question names), QUORUM or D
 * that break 2 * QUORUM > N + D. REACH must fail: a
 * dispatch does occur where the two entries go by different lists.
 */

#ifndef N
#define N 5
#endif
#ifndef D
#define D 2
#endif
#ifndef QUORUM
#define QUORUM 4
#endif

/* The third list only matters where hosts speak for a list they adopt. */
#if defined(NO_LIST_RULE) || defined(NO_VIEW_CHECK)
#define LISTS 3
#else
#define LISTS 2
#endif
#define NH (N + D * (LISTS - 1))
#define NE 2

#define IN_LIST(h, v) ((h) >= (v) * D && (h) < (v) * D + N)

#define KNOWN 0
#define TAKING 1
#define TAKEN 2
#define DISPATCHED 3
#define SEALING 4
#define GIVEN_UP 5
#define DOUBT 6

#define SILENT 7

/* Hosts. */
byte list[NH]; /* in force since before the birth, or SILENT */
byte claimant[NH]; /* entry + 1, 0 none */
bool sealed[NH];

/* Entries. */
byte step[NE];
byte asks[NE]; /* the list that the entry goes by */
bool take_sent[NE];
bool seal_sent[NE];
short agreed[NE]; /* bit per host, for the step in progress */

bool dispatched;
bool not_run;

#ifdef NO_VIEW_CHECK
#define SPEAKS(h, e) (list[h] != SILENT && IN_LIST(h, asks[e]))
#else
#define SPEAKS(h, e) (list[h] == asks[e] && IN_LIST(h, asks[e]))
#endif

#define BIT(h) (1 << (h))
#define UNSEEN(h, e) (!(agreed[e] & BIT(h)))
#define HAS(m, h) (((m) >> (h)) & 1)
#define COUNT(m) (HAS(m, 0) + HAS(m, 1) + HAS(m, 2) + HAS(m, 3) + HAS(m, 4) + \
		  HAS(m, 5) + HAS(m, 6) + HAS(m, 7) + HAS(m, 8))

#define TAKE_NEW(h, e) (take_sent[e] && SPEAKS(h, e) && !sealed[h] && \
			(claimant[h] == 0 || (claimant[h] == e + 1 && \
			 step[e] == TAKING && UNSEEN(h, e))))
#define SEAL_NEW(h, e) (seal_sent[e] && SPEAKS(h, e) && \
			(claimant[h] == 0 || claimant[h] == e + 1) && \
			(!sealed[h] || (step[e] == SEALING && UNSEEN(h, e))))

inline agree(h, e, s)
{
	if
	:: step[e] == s -> agreed[e] = agreed[e] | BIT(h)
	:: else
	fi
}

inline begin(e, s)
{
	agreed[e] = 0;
	step[e] = s
}

inline forget(h)
{
	claimant[h] = 0;
	sealed[h] = false
}

#define ANSWER(h, e) \
	:: d_step { TAKE_NEW(h, e) -> \
		claimant[h] = e + 1; \
		agree(h, e, TAKING) } \
	:: d_step { SEAL_NEW(h, e) -> \
		claimant[h] = 0; \
		sealed[h] = true; \
		agree(h, e, SEALING) }

/* witness.c: witness_view(); a new process for a restart */
#ifdef NO_LIST_RULE
#define LEAVES(h) :: d_step { list[h] + 1 < LISTS -> list[h]++ }
#elif defined(SILENCE)
#define LEAVES(h) :: d_step { list[h] != SILENT -> forget(h); list[h] = SILENT }
#else
#define LEAVES(h)
#endif
#ifdef NO_AMNESIA_RULE
#define FORGETS(h) :: d_step { claimant[h] || sealed[h] -> forget(h) }
#else
#define FORGETS(h)
#endif

/* witness.c: take(), seal(), check_view() */
#define HOST(h) ANSWER(h, 0) ANSWER(h, 1) LEAVES(h) FORGETS(h)

inline start_seal(e)
{
	seal_sent[e] = true;
	begin(e, SEALING)
}

#ifdef REACH
#define REACHED assert(asks[0] == asks[1]);
#else
#define REACHED
#endif

/*
 * claim.c: claim_take(), decide_take_step(), claim_seal(), decide_seal_step()
 */
#define ENTRY(e) \
	:: d_step { step[e] == KNOWN -> \
		take_sent[e] = true; \
		begin(e, TAKING) } \
	:: d_step { step[e] == KNOWN -> start_seal(e) } \
	:: d_step { step[e] == TAKING && COUNT(agreed[e]) >= QUORUM -> \
		begin(e, TAKEN) } \
	:: d_step { step[e] == TAKING -> start_seal(e) } \
	:: d_step { step[e] == TAKEN -> \
		assert(!dispatched); \
		assert(!not_run); \
		REACHED \
		dispatched = true; \
		begin(e, DISPATCHED) } \
	:: d_step { step[e] == TAKEN -> start_seal(e) } \
	:: d_step { step[e] == SEALING && COUNT(agreed[e]) >= QUORUM -> \
		assert(!dispatched); \
		not_run = true; \
		begin(e, GIVEN_UP) } \
	:: d_step { step[e] == SEALING -> begin(e, DOUBT) }

/*
 * One process, in which every host and every entry may move next. The order in
 * which two entries are numbered does not matter, so the first asks under the
 * older list. Where there are three lists, a fault needs the last one.
 */
init {
	byte i;
	byte v;

	atomic {
		select (v : 0 .. LISTS - 1);
		asks[0] = v;
#if LISTS == 3
		asks[1] = 2;
#else
		select (v : asks[0] .. LISTS - 1);
		asks[1] = v;
#endif
		v = 0;
		for (i : 0 .. NH - 1) {
			if
			:: IN_LIST(i, 0) -> list[i] = 0
			:: IN_LIST(i, 1) -> list[i] = 1
			:: !IN_LIST(i, 0) && !IN_LIST(i, 1) -> list[i] = 1
			fi
		}
		i = 0
	}
end:
	do
	ENTRY(0)
	ENTRY(1)
	HOST(0)
	HOST(1)
	HOST(2)
	HOST(3)
	HOST(4)
#if NH > 5
	HOST(5)
#endif
#if NH > 6
	HOST(6)
#endif
#if NH > 7
	HOST(7)
#endif
#if NH > 8
	HOST(8)
#endif
	od
}
