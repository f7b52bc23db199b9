/*
 * Quota of one account over all hosts in virtual time: hosts that are killed
 * together and rediscover each other through seeds, owners that are killed or
 * frozen, and network partitions, while the account requests many times its
 * rate.
 */

#include "quota_sim.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>

enum {
	KILL_S = 12,
	RUN_S = 24,
	DOWN_MS = 1000, /* from the kill of all hosts to the first restart */
	RESTART_SPREAD_MS = 300, /* from the first host's restart to the last */
	WINDOW_S = 8
};

/* Relative and absolute tolerance above a quota of rate * window + burst. */
#define OVERRUN_RATIO 0.25
#define SLACK_TOKENS 140000

static quota_sim_t sim;

static double tolerated_tokens(void)
{
	return (sim.limit.tokens_per_second * WINDOW_S + sim.limit.burst) *
		       (1 + OVERRUN_RATIO) +
	       SLACK_TOKENS;
}

static void step_ms(uint32_t ms, double rate_multiple)
{
	const double tiers[QUOTA_SIM_TIERS] = { rate_multiple };

	for (uint32_t i = 0; i < ms / QUOTA_SIM_STEP_MS; i++)
		quota_sim_step(&sim, tiers);
}

static void check_quota(const char *name)
{
	ck_assert_msg(quota_sim_window_max(&sim) <= tolerated_tokens(),
		      "%s: admitted %.0f tokens in a window, limit %.0f", name,
		      quota_sim_window_max(&sim), tolerated_tokens());
}

static const struct {
	const char *name;
	uint32_t hosts;
	/* tokens requested over all hosts, in multiples of the rate */
	double load;
	/* largest share of the tokens requested after the kill that is refused */
	double refused_ratio_max;
	/* least tokens admitted after the kill, as a share of rate * time */
	double admitted_ratio_min;
} cases[] = {
	{ "half the rate at 87 hosts", 87, 0.5, 0.05, 0.45 },
	{ "0.9 times the rate at 87 hosts", 87, 0.9, 0.15, 0.75 },
	{ "half the rate at 58 hosts", 58, 0.5, 0.05, 0.45 },
	{ "0.9 times the rate at 58 hosts", 58, 0.9, 0.15, 0.75 },
	{ "five times the rate at 58 hosts", 58, 5, 1, 0.9 },
	{ "ten times the rate at 58 hosts", 58, 10, 1, 0.9 },
	{ "four times the rate at 8 hosts", 8, 4, 1, 0.9 },
	{ "7.5 times the rate at 58 hosts", 58, 7.5, 1, 0.9 },
	{ "7.5 times the rate at 87 hosts", 87, 7.5, 1, 0.9 },
	{ "half the rate at 295 hosts", 295, 0.5, 0.05, 0.45 },
	{ "7.5 times the rate at 200 hosts", 200, 7.5, 1, 0.9 },
	{ "7.5 times the rate at 295 hosts", 295, 7.5, 1, 0.9 },
};

/* Time at which a host restarts after the kill, in milliseconds of the run. */
static uint32_t restart_ms(uint32_t index, uint32_t count)
{
	return KILL_S * 1000 + DOWN_MS +
	       index * 7 % count * RESTART_SPREAD_MS / count;
}

static void restart_due(uint32_t ms)
{
	const uint32_t count = sim.peers.count;

	for (uint32_t i = 0; i < count; i++)
		if (!sim.peers.hosts[i].up && ms >= restart_ms(i, count))
			quota_sim_start(&sim, i, false);
}

/*
 * Guards against admission above the quota by restarted hosts that know only
 * some of their peers.
 */
START_TEST(quota_holds_while_restarted_hosts_discover_peers)
{
	const double min_tokens =
		cases[_i].admitted_ratio_min * 200000.0 * (RUN_S - KILL_S);
	double admitted;
	double refused;

	quota_sim_init(&sim, cases[_i].hosts, 1);
	step_ms(KILL_S * 1000, cases[_i].load);
	for (uint32_t i = 0; i < cases[_i].hosts; i++)
		quota_sim_kill(&sim, i);
	sim.counting = true;
	for (uint32_t ms = KILL_S * 1000; ms < RUN_S * 1000;
	     ms += QUOTA_SIM_STEP_MS) {
		restart_due(ms);
		step_ms(QUOTA_SIM_STEP_MS, cases[_i].load);
	}
	admitted = sim.admitted_tokens[0];
	refused = sim.requested_tokens[0] - admitted;
	check_quota(cases[_i].name);
	ck_assert_msg(
		admitted >= min_tokens,
		"%s: admitted %.0f tokens after the kill, expected at least %.0f",
		cases[_i].name, admitted, min_tokens);
	ck_assert_msg(refused <= sim.requested_tokens[0] *
					 cases[_i].refused_ratio_max,
		      "%s: %.0f of %.0f tokens refused", cases[_i].name,
		      refused, sim.requested_tokens[0]);
	quota_sim_finish(&sim);
}
END_TEST

typedef enum fault {
	NO_FAULT,
	KILL_OWNER,
	FREEZE_OWNER,
	PARTITION_HOSTS, /* a quarter of the hosts is cut off from the others */
	LOWER_LIMIT /* the rate is halved and the owner is killed */
} fault_t;

enum { FAULT_AT_S = 10, FAULT_FOR_S = 10, FAULT_RUN_S = 28 };

static const struct {
	const char *name;
	uint32_t hosts;
	double load; /* tokens requested, in multiples of the rate */
	fault_t fault;
	/* least tokens admitted in the whole run, as a share of rate * time */
	double min_ratio;
} fault_cases[] = {
	{ "0.95 times the rate, no fault", 8, 0.95, NO_FAULT, 0.94 },
	{ "four times the rate, no fault", 8, 4, NO_FAULT, 1.0 },
	{ "owner killed, four times the rate", 8, 4, KILL_OWNER, 1.0 },
	{ "owner killed, half the rate", 87, 0.5, KILL_OWNER, 0.45 },
	{ "owner killed, 7.5 times the rate", 295, 7.5, KILL_OWNER, 0.95 },
	{ "owner frozen, 7.5 times the rate", 295, 7.5, FREEZE_OWNER, 0.95 },
	{ "hosts partitioned, four times the rate", 8, 4, PARTITION_HOSTS,
	  0.95 },
	{ "hosts partitioned, 7.5 times the rate", 295, 7.5, PARTITION_HOSTS,
	  0.8 },
	{ "limit lowered, 7.5 times the rate", 87, 7.5, LOWER_LIMIT, 0.14 },
};

static void inject_fault(fault_t fault)
{
	uint32_t owner = quota_sim_owner(&sim);

	switch (fault) {
	case NO_FAULT:
		break;
	case LOWER_LIMIT:
		sim.limit.tokens_per_second /= 2;
		sim.version++;
		/* fallthrough */
	case KILL_OWNER:
		quota_sim_kill(&sim, owner);
		break;
	case FREEZE_OWNER:
		sim.peers.hosts[owner].frozen_until =
			sim.peers.now + 5 * PIMENTO_SEC;
		break;
	case PARTITION_HOSTS:
		for (uint32_t i = 0; i < sim.peers.count; i += 4)
			sim.peers.hosts[i].partition = 1;
		break;
	}
}

static void clear_fault(void)
{
	for (uint32_t i = 0; i < sim.peers.count; i++) {
		sim.peers.hosts[i].partition = 0;
		if (!sim.peers.hosts[i].up)
			quota_sim_start(&sim, i, false);
	}
}

/*
 * Guards against a limit that is admitted twice, or not at all, while the owner
 * is gone or hosts cannot reach each other.
 */
START_TEST(quota_holds_in_every_window_during_faults)
{
	double load = fault_cases[_i].load;
	double all;

	quota_sim_init(&sim, fault_cases[_i].hosts, 2);
	step_ms(FAULT_AT_S * 1000, load);
	check_quota(fault_cases[_i].name);
	inject_fault(fault_cases[_i].fault);
	if (fault_cases[_i].fault == LOWER_LIMIT) {
		/* admissions comply with a lowered limit only one window later */
		step_ms(FAULT_FOR_S * 1000, load);
		memset(sim.admitted, 0, sizeof(sim.admitted));
	} else {
		step_ms(FAULT_FOR_S * 1000, load);
	}
	clear_fault();
	step_ms((FAULT_RUN_S - FAULT_AT_S - FAULT_FOR_S) * 1000, load);
	all = quota_sim_admitted(&sim, 0, FAULT_RUN_S);
	check_quota(fault_cases[_i].name);
	ck_assert_msg(all >= fault_cases[_i].min_ratio * 200000.0 * FAULT_RUN_S,
		      "%s: admitted only %.0f tokens", fault_cases[_i].name,
		      all);
	quota_sim_finish(&sim);
}
END_TEST

/*
 * Guards against an account that is admitted several times its rate in one
 * second and nothing in the next.
 */
enum { SURGE_AT_S = 2, STEADY_FROM_S = 6 };

static const struct {
	const char *name;
	/* tokens requested over all hosts, in multiples of the rate */
	double rate_multiple;
	/*
	 * bounds of the tokens admitted in each second from STEADY_FROM_S on,
	 * in multiples of the rate
	 */
	double min_ratio;
	double max_ratio;
} surge_cases[] = {
	{ "1.5 times the rate", 1.5, 0.5, 1.6 },
	{ "five times the rate", 5, 0.5, 1.7 },
	{ "ten times the rate", 10, 0.5, 1.7 },
};

START_TEST(surge_is_admitted_at_steady_rate)
{
	quota_sim_init(&sim, 58, 3);
	step_ms(SURGE_AT_S * 1000, 0.5);
	step_ms((RUN_S - SURGE_AT_S) * 1000, surge_cases[_i].rate_multiple);
	for (uint32_t second = STEADY_FROM_S; second < RUN_S; second++) {
		double ratio = quota_sim_admitted(&sim, second, second + 1) /
			       sim.limit.tokens_per_second;

		ck_assert_msg(ratio >= surge_cases[_i].min_ratio &&
				      ratio <= surge_cases[_i].max_ratio,
			      "%s: admitted %.2f of the rate in second %u",
			      surge_cases[_i].name, ratio, second);
	}
	quota_sim_finish(&sim);
}
END_TEST

static const struct {
	const char *name;
	uint32_t hosts;
	/* tokens requested by each tier, in multiples of the account's rate */
	double rate_multiples[QUOTA_SIM_TIERS];
	/* least share of the most urgent tier's tokens that is admitted */
	double min_ratio;
	/* largest share of the least urgent tier's tokens that is admitted */
	double max_ratio;
} tier_cases[] = {
	{ "tier 0 alone fits, 8 hosts", 8, { 0.7, 1.4, 1.4 }, 0.9, 0.25 },
	{ "tier 0 alone exceeds the rate", 8, { 2, 2, 2 }, 0.4, 0.1 },
	{ "all tiers fit", 8, { 0.3, 0.3, 0.3 }, 0.99, 1 },
	{ "tier 0 alone fits, 87 hosts", 87, { 0.7, 1.4, 1.4 }, 0.9, 0.25 },
};

/*
 * Guards against urgent requests that are refused while less urgent requests of
 * the same account are admitted.
 */
START_TEST(scarce_account_admits_urgent_tiers_first)
{
	const uint32_t last = QUOTA_SIM_TIERS - 1;
	double urgent;
	double least_urgent;

	quota_sim_init(&sim, tier_cases[_i].hosts, 4);
	sim.counting = true;
	for (uint32_t i = 0; i < RUN_S * 1000 / QUOTA_SIM_STEP_MS; i++)
		quota_sim_step(&sim, tier_cases[_i].rate_multiples);
	urgent = sim.admitted_tokens[0] / sim.requested_tokens[0];
	least_urgent = sim.admitted_tokens[last] / sim.requested_tokens[last];
	ck_assert_msg(urgent >= tier_cases[_i].min_ratio,
		      "%s: admitted %.2f of tier 0", tier_cases[_i].name,
		      urgent);
	ck_assert_msg(least_urgent <= tier_cases[_i].max_ratio,
		      "%s: admitted %.2f of the last tier", tier_cases[_i].name,
		      least_urgent);
	quota_sim_finish(&sim);
}
END_TEST

static const struct {
	const char *name;
	uint32_t hosts;
	double load; /* requests a second over all hosts */
} link_cases[] = {
	{ "5,000 requests a second at 79 hosts", 79, 5000 },
	{ "10,000 requests a second at 79 hosts", 79, 10000 },
	{ "5,000 requests a second at 34 hosts", 34, 5000 },
	{ "10,000 requests a second at 200 hosts", 200, 10000 },
};

/* What a link of 10 Mbit/s carries beside the requests, in a step. */
enum { LINK_PER_STEP = 40, LINK_RUN_S = 12 };

/*
 * Guards against an owner that answers late because its link is full, and is
 * asked again and again for that.
 */
START_TEST(account_far_beyond_its_rate_does_not_fill_its_owners_link)
{
	double per_second = link_cases[_i].load;
	uint64_t requests = (uint64_t)(per_second * LINK_RUN_S);
	uint64_t pending = 0;
	double rate;

	quota_sim_init(&sim, link_cases[_i].hosts, 5);
	sim.link_per_step = LINK_PER_STEP;
	step_ms(LINK_RUN_S * 1000,
		per_second * sim.tokens / sim.limit.tokens_per_second);
	for (uint32_t i = 0; i < sim.peers.count; i++)
		pending += sim.hosts[i].fleet.local_decisions;
	rate = quota_sim_admitted(&sim, 4, LINK_RUN_S) / (LINK_RUN_S - 4);
	check_quota(link_cases[_i].name);
	ck_assert_msg(sim.decided >= requests - requests / 20,
		      "%s: %llu of %llu requests decided", link_cases[_i].name,
		      (unsigned long long)sim.decided,
		      (unsigned long long)requests);
	ck_assert_msg(sim.dropped == 0, "%s: %llu datagrams dropped",
		      link_cases[_i].name, (unsigned long long)sim.dropped);
	ck_assert_msg(pending <= requests / 100,
		      "%s: %llu requests decided without the owner",
		      link_cases[_i].name, (unsigned long long)pending);
	ck_assert_msg(rate >= 0.9 * sim.limit.tokens_per_second,
		      "%s: %.0f tokens a second admitted", link_cases[_i].name,
		      rate);
	quota_sim_finish(&sim);
}
END_TEST

/* A host alone with what it sends, and which requests it has decided. */
typedef struct lone_host {
	quota_message_t sent;
	uint32_t to;
	uint64_t decided[8]; /* by ticket: how often */
} lone_host_t;

static void keep_sent(void *context, uint32_t address,
		      const quota_message_t *message)
{
	lone_host_t *host = context;

	host->sent = *message;
	host->to = address;
}

static void keep_decided(void *context, uint64_t ticket,
			 const quota_decision_t *decision)
{
	lone_host_t *host = context;

	(void)decision;
	host->decided[ticket]++;
}

static void reply_to_first(quota_fleet_t *fleet, uint32_t from, uint64_t ticket)
{
	const quota_message_t reply = {
		.kind = QUOTA_REPLY,
		.address = from,
		.account = (uint32_t)sim.account,
		.ticket = ticket,
		.tokens = 100,
		.count = 1,
		.admitted = 1,
	};

	quota_fleet_receive(fleet, &reply, sim.peers.now);
}

/* A host that is neither the account's owner nor its successor. */
static uint32_t bystander(void)
{
	uint32_t owner = peers_sim_address(quota_sim_owner(&sim));
	uint32_t i = 0;
	uint32_t successor;

	successor =
		peers_successor(&sim.peers.hosts[0].peers, sim.account, owner);
	while (peers_sim_address(i) == owner ||
	       peers_sim_address(i) == successor)
		i++;
	return i;
}

/*
 * Guards against a late reply of a host of an earlier version that is taken for
 * the reply to another request of the batch.
 */
START_TEST(late_reply_to_a_part_of_a_batch_is_refunded)
{
	static const quota_fleet_ops_t ops = { .send = keep_sent,
					       .decided = keep_decided };
	lone_host_t host = { 0 };
	quota_fleet_t fleet;
	quota_fleet_setup_t setup = { .ops = &ops,
				      .context = &host,
				      .first_start = true };
	quota_request_t request = { .limit = { 1000, 1000 }, .tokens = 100 };
	uint64_t ticket;
	uint32_t owner = 0;

	quota_sim_init(&sim, 4, 6);
	request.account = sim.account;
	setup.peers = &sim.peers.hosts[bystander()].peers;
	quota_fleet_init(&fleet, &setup);
	for (request.ticket = 1; request.ticket <= QUOTA_BATCH_BURST;
	     request.ticket++) {
		ck_assert_int_eq(
			quota_fleet_request(&fleet, &request, sim.peers.now),
			0);
		owner = host.to;
		reply_to_first(&fleet, owner, host.sent.ticket);
		ck_assert_uint_eq(host.decided[request.ticket], 1);
	}
	for (; request.ticket <= QUOTA_BATCH_BURST + 2; request.ticket++)
		ck_assert_int_eq(
			quota_fleet_request(&fleet, &request, sim.peers.now),
			0);
	sim.peers.now += quota_fleet_batch_interval(&fleet, sim.peers.now);
	quota_fleet_tick(&fleet, sim.peers.now);
	ck_assert_uint_eq(host.sent.count, 2);
	ticket = host.sent.ticket;
	sim.peers.now += 100 * PIMENTO_MSEC;
	quota_fleet_tick(&fleet, sim.peers.now);
	ck_assert_uint_ne(host.to, owner);
	reply_to_first(&fleet, host.to, ticket);
	ck_assert_uint_eq(host.decided[QUOTA_BATCH_BURST + 1], 1);
	reply_to_first(&fleet, owner, ticket);
	ck_assert_uint_eq(host.decided[QUOTA_BATCH_BURST + 2], 0);
	ck_assert_int_eq(host.sent.kind, QUOTA_REFUND);
	ck_assert_uint_eq(host.to, owner);
	quota_fleet_finish(&fleet);
	quota_sim_finish(&sim);
}
END_TEST

enum {
	LOST_S = 1, /* all hosts are killed, */
	BACK_S = 2, /* those that are no seeds start again, */
	SEED_BACK_S = 28, /* and then one that is */
	FOUND_S = 30,
	END_S = 32
};

static const struct {
	const char *name;
	uint32_t hosts;
	uint32_t stated; /* number of hosts in the settings; 0: none */
} lost_seed_cases[] = {
	{ "8 hosts", 8, 0 },
	{ "4 hosts", 4, 0 },
	{ "11 hosts", 11, 0 },
	{ "40 hosts, as the settings say", 40, 40 },
};

/*
 * Guards against hosts that cannot find each other, as all seeds are down, and
 * each admit a whole quota; and against a quota that stays low once they can.
 */
START_TEST(quota_holds_while_all_seeds_are_down)
{
	const uint32_t hosts = lost_seed_cases[_i].hosts;

	quota_sim_init(&sim, hosts, 1);
	for (uint32_t i = 0; i < hosts; i++)
		quota_sim_kill(&sim, i);
	step_ms((BACK_S - LOST_S) * 1000, 0);
	for (uint32_t i = 0; i < hosts; i++) {
		if (peers_sim_is_seed(&sim.peers, i))
			continue;
		quota_sim_start(&sim, i, false);
		peers_set_stated_hosts(&sim.peers.hosts[i].peers,
				       lost_seed_cases[_i].stated);
	}
	step_ms((SEED_BACK_S - BACK_S) * 1000, 8);
	check_quota(lost_seed_cases[_i].name);
	quota_sim_start(&sim, 0, false);
	peers_set_stated_hosts(&sim.peers.hosts[0].peers,
			       lost_seed_cases[_i].stated);
	step_ms((END_S - SEED_BACK_S) * 1000, 8);
	check_quota(lost_seed_cases[_i].name);
	ck_assert_msg(
		quota_sim_admitted(&sim, FOUND_S - LOST_S, END_S - LOST_S) >=
			0.9 * 200000 * (END_S - FOUND_S),
		"%s: admitted %.0f tokens once a seed was back",
		lost_seed_cases[_i].name,
		quota_sim_admitted(&sim, FOUND_S - LOST_S, END_S - LOST_S));
	quota_sim_finish(&sim);
}
END_TEST

/* Guards against a deployment of one host that waits for others. */
START_TEST(a_host_whose_seeds_name_itself_admits_the_whole)
{
	quota_sim_init(&sim, 1, 1);
	step_ms(10000, 8);
	check_quota("one host");
	ck_assert(quota_sim_admitted(&sim, 1, 9) >= 200000 * 8);
	quota_sim_finish(&sim);
}
END_TEST

#define COUNT(table) ((int)(sizeof(table) / sizeof((table)[0])))

int main(void)
{
	Suite *suite = suite_create("quota_fleet");
	TCase *tests = tcase_create("all");
	SRunner *runner;
	int failed;

	tcase_set_timeout(tests, 300);
	tcase_add_loop_test(tests,
			    quota_holds_while_restarted_hosts_discover_peers, 0,
			    COUNT(cases));
	tcase_add_loop_test(tests, quota_holds_in_every_window_during_faults, 0,
			    COUNT(fault_cases));
	tcase_add_loop_test(tests, surge_is_admitted_at_steady_rate, 0,
			    COUNT(surge_cases));
	tcase_add_loop_test(tests, scarce_account_admits_urgent_tiers_first, 0,
			    COUNT(tier_cases));
	tcase_add_loop_test(
		tests,
		account_far_beyond_its_rate_does_not_fill_its_owners_link, 0,
		COUNT(link_cases));
	tcase_add_test(tests, late_reply_to_a_part_of_a_batch_is_refunded);
	tcase_add_loop_test(tests, quota_holds_while_all_seeds_are_down, 0,
			    COUNT(lost_seed_cases));
	tcase_add_test(tests, a_host_whose_seeds_name_itself_admits_the_whole);
	suite_add_tcase(suite, tests);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
