/*
 * What becomes of a key where the network heals: issued keys, three witnesses,
 * of which one may be gone. Entries 0 and 1 have the key at the same time and
 * may give it up at any point before the dispatch; when both have ended, and
 * nothing of theirs is on its way, the caller tries once more through entry 2,
 * which gives up only what it must.
 *
 * Questions are sent again until they are answered, so a step ends by what the
 * witnesses say and never by its timeout. Two things are checked: no run is
 * endless (spin finds no cycle), and where nothing can move any more every entry
 * has ended and the request has been dispatched, by whichever entry. Together
 * they say that it is dispatched in the end.
 *
 * DEATH: entry 0 may die while taking, when it holds one witness at most, and
 * no witness is gone.
 *
 * Broken variants, each of which must fail: NO_WITHDRAW (a take that cannot win
 * leaves what it gained), NO_RESEAL (an entry that knows its verdict sends its
 * seals no more, so what it holds at the last witness may stay), NO_BARRED with
 * DEATH (a query takes a claim for held although a quorum has sealed it).
 */

#define NW 3
#define NE 3
#define QUORUM 2
#define ALL 7

#define KNOWN 1
#define QUERYING 0
#define TAKING 2
#define TAKEN 3
#define HELD 4
#define SEALING 5
#define ENDED 6

#define BIT(w) (1 << (w))
#define COUNT(m) (((m) & 1) + (((m) >> 1) & 1) + (((m) >> 2) & 1))
#define MAX(a, b) ((a) > (b) -> (a) : (b))

byte claimant[NW]; /* entry + 1, 0 none */
byte sealed[NW];
byte gone; /* bit per witness */

byte step[NE];
byte attempt[NE];
bool sealing[NE]; /* a seal of this entry may be on its way */
byte agreed[NE];
byte answered[NE]; /* to the query */
byte held[NE]; /* bit per witness: told of a claim */
byte holder[NE];
byte top[NE]; /* highest sealed attempt told of */
byte clear[NE]; /* witnesses that told of a seal and of no claim */

byte dispatched; /* entry + 1 */
bool quiet; /* entries 0 and 1 have ended and nothing of theirs moves */

#define LIVE(w) (!(gone & BIT(w)))
#define ENDS(e) (step[e] == ENDED)

/* witness.c: query; a report counts once */
#define REPORT(w, e) \
	:: d_step { step[e] == QUERYING && LIVE(w) && \
		    !(answered[e] & BIT(w)) && STARTS(e) -> \
		answered[e] = answered[e] | BIT(w); \
		top[e] = MAX(top[e], sealed[w]); \
		if \
		:: claimant[w] -> \
			held[e] = held[e] | BIT(w); \
			holder[e] = claimant[w] \
		:: !claimant[w] && sealed[w] -> clear[e] = clear[e] | BIT(w) \
		:: else \
		fi }

#define TAKE(w, e) \
	:: d_step { step[e] == TAKING && LIVE(w) && !claimant[w] && \
		    sealed[w] < attempt[e] -> \
		claimant[w] = e + 1; \
		agreed[e] = agreed[e] | BIT(w) }

#define SEAL(w, e) \
	:: d_step { sealing[e] && LIVE(w) && \
		    (!claimant[w] || claimant[w] == e + 1) && \
		    (claimant[w] || sealed[w] < attempt[e] || \
		     (step[e] == SEALING && !(agreed[e] & BIT(w)))) -> \
		claimant[w] = 0; \
		sealed[w] = MAX(sealed[w], attempt[e]); \
		if \
		:: step[e] == SEALING -> agreed[e] = agreed[e] | BIT(w) \
		:: else \
		fi }

/* Witnesses that say no to a take, or nothing for ever. */
#define NO(w, e) (!LIVE(w) || \
		  (claimant[w] && claimant[w] != e + 1) || \
		  (!claimant[w] && sealed[w] >= attempt[e]))
#define CANNOT_WIN(e) (NO(0, e) + NO(1, e) + NO(2, e) > NW - QUORUM)
#define HOLDS(w, x) (LIVE(w) && claimant[w] == x)
#define WINS(x) (HOLDS(0, x) + HOLDS(1, x) + HOLDS(2, x) >= QUORUM)
#define RIVAL_WON(e) ((e != 0 && WINS(1)) || (e != 1 && WINS(2)) || \
		      (e != 2 && WINS(3)))

#ifdef NO_BARRED
#define BARRED(e) false
#else
#define BARRED(e) (COUNT(clear[e]) >= QUORUM)
#endif

#define HEARD(e) ((answered[e] | gone) == ALL)
#define STARTS(e) (e != 2 || quiet)

inline begin_seal(e)
{
	step[e] = SEALING;
	sealing[e] = true;
	agreed[e] = 0
}

inline forget_query(e)
{
	answered[e] = 0;
	held[e] = 0;
	clear[e] = 0;
	top[e] = 0
}

/* claim.c: decide_query_step(), decide_take_step(), decide_seal_step() */
#define ENTRY(e) \
	:: d_step { step[e] == QUERYING && COUNT(answered[e]) >= QUORUM && \
		    (!held[e] || BARRED(e)) -> \
		attempt[e] = top[e] + 1; \
		step[e] = KNOWN; \
		forget_query(e) } \
	:: d_step { step[e] == QUERYING && held[e] && !BARRED(e) && HEARD(e) -> \
		attempt[e] = top[e] + 1; \
		step[e] = HELD; \
		forget_query(e) } \
	:: d_step { step[e] == KNOWN -> step[e] = TAKING } \
	:: d_step { step[e] == KNOWN && e != 2 -> begin_seal(e) } \
	:: d_step { step[e] == TAKING && COUNT(agreed[e]) >= QUORUM -> \
		step[e] = TAKEN } \
	:: d_step { step[e] == TAKING && COUNT(agreed[e]) < QUORUM && \
		    CANNOT_WIN(e) -> LOSE(e) } \
	:: d_step { step[e] == TAKEN -> dispatched = e + 1; step[e] = ENDED } \
	:: d_step { step[e] == TAKEN && e != 2 -> begin_seal(e) } \
	:: d_step { step[e] == HELD && dispatched -> step[e] = ENDED } \
	:: d_step { step[e] == HELD && !dispatched -> begin_seal(e) } \
	:: d_step { step[e] == SEALING && COUNT(agreed[e]) >= QUORUM -> \
		step[e] = ENDED } \
	:: d_step { step[e] == SEALING && RIVAL_WON(e) -> step[e] = ENDED } \
	LOSE_SEALS(e)

#ifdef NO_WITHDRAW
#define LOSE(e) step[e] = ENDED
#else
#define LOSE(e) begin_seal(e)
#endif

#ifdef NO_RESEAL
#define LOSE_SEALS(e) :: d_step { ENDS(e) && sealing[e] -> sealing[e] = false }
#else
#define LOSE_SEALS(e)
#endif

#ifdef DEATH
#define DIES :: d_step { step[0] == TAKING && COUNT(agreed[0]) <= 1 -> \
		step[0] = ENDED }
#define LAST_GONE 0
#else
#define DIES
#define LAST_GONE 1
#endif

#define WITNESS(w) \
	REPORT(w, 0) REPORT(w, 1) REPORT(w, 2) \
	TAKE(w, 0) TAKE(w, 1) TAKE(w, 2) \
	SEAL(w, 0) SEAL(w, 1) SEAL(w, 2)

init {
	select (gone : 0 .. LAST_GONE);
	do
	DIES
	ENTRY(0)
	ENTRY(1)
	ENTRY(2)
	WITNESS(0)
	WITNESS(1)
	WITNESS(2)
	:: timeout && !quiet -> quiet = true
	:: timeout && quiet -> break
	od;
	assert(ENDS(0) && ENDS(1) && ENDS(2));
	assert(dispatched)
}
