/*
 * Writes the rows. Goodput is of requests offered, in percent, by tier.
 */

#include "report.h"

#define TIERS_SHOWN 4

static void add_count(tier_count_t *sum, const tier_count_t *one)
{
	sum->offered += one->offered;
	sum->good += one->good;
	sum->refused += one->refused;
	sum->gone += one->gone;
	sum->lost += one->lost;
}

void report_add(world_stats_t *sum, const world_stats_t *one)
{
	for (int i = 0; i < PIMENTO_TIERS_MAX; i++)
		add_count(&sum->tiers[i], &one->tiers[i]);
	for (int i = 0; i < WORKLOAD_CLASSES; i++)
		add_count(&sum->classes[i], &one->classes[i]);
	sum->refused_late += one->refused_late;
	sum->refused_busy += one->refused_busy;
	sum->refused_other += one->refused_other;
	sum->inversions += one->inversions;
	sum->wasted += one->wasted;
	sum->read += one->read;
	for (int i = 0; i < WORKLOAD_ENDPOINTS; i++) {
		sum->busy[i] += one->busy[i];
		sum->reading[i] += one->reading[i];
		sum->batched[i] += one->batched[i];
	}
	sum->messages += one->messages;
	sum->message_bytes += one->message_bytes;
	if (one->give_up > sum->give_up)
		sum->give_up = one->give_up;
}

double report_goodput(const tier_count_t *count)
{
	return count->offered ? 100.0 * count->good / count->offered : 100.0;
}

void report_head(FILE *table, FILE *tsv)
{
	fprintf(table,
		"%-10s %-9s %4s %-13s %5s %6s %6s %6s %6s %9s %6s "
		"%6s %6s %6s %6s %6s %7s\n",
		"workload", "scenario", "load", "policy", "seeds", "tier0",
		"tier1", "tier2", "tier3", "wasted", "late", "busy", "other",
		"gone", "lost", "invert", "giveup");
	fprintf(tsv, "workload\tscenario\tload\tpolicy\tseeds\t"
		     "goodput0\tgoodput1\tgoodput2\tgoodput3\t"
		     "wasted_prefill\tprefill\trefused_late\trefused_busy\t"
		     "refused_other\tnot_run\tmay_have_run\tgone\tinversions\t"
		     "give_up_ms\tmessages\tmessage_bytes\n");
}

static void total(const world_stats_t *s, tier_count_t *all)
{
	for (int i = 0; i < PIMENTO_TIERS_MAX; i++) {
		all->refused += s->tiers[i].refused;
		all->gone += s->tiers[i].gone;
		all->lost += s->tiers[i].lost;
	}
}

void report_line(FILE *table, FILE *tsv, const report_row_t *row)
{
	const world_stats_t *s = &row->stats;
	tier_count_t all = { 0 };
	double give_up = (double)s->give_up / PIMENTO_MSEC;

	total(s, &all);
	fprintf(table, "%-10s %-9s %4.1f %-13s %2llu-%-2llu", row->workload,
		row->scenario, row->load, row->policy,
		(unsigned long long)row->seed_first,
		(unsigned long long)row->seed_last);
	fprintf(tsv, "%s\t%s\t%.1f\t%s\t%llu-%llu", row->workload,
		row->scenario, row->load, row->policy,
		(unsigned long long)row->seed_first,
		(unsigned long long)row->seed_last);
	for (uint32_t i = 0; i < TIERS_SHOWN; i++) {
		if (i < row->tiers) {
			double good = report_goodput(&s->tiers[i]);

			fprintf(table, " %6.2f", good);
			fprintf(tsv, "\t%.3f", good);
		} else {
			fprintf(table, " %6s", "-");
			fprintf(tsv, "\t");
		}
	}
	fprintf(table, " %9llu %6u %6u %6u %6u %6u %6u %7.1f\n",
		(unsigned long long)s->wasted, s->refused_late, s->refused_busy,
		s->refused_other, all.gone, all.lost, s->inversions, give_up);
	fprintf(tsv,
		"\t%llu\t%llu\t%u\t%u\t%u\t%u\t%u\t%u\t%u\t%.3f\t%llu\t%llu\n",
		(unsigned long long)s->wasted, (unsigned long long)s->read,
		s->refused_late, s->refused_busy, s->refused_other, all.refused,
		all.lost, all.gone, s->inversions, give_up,
		(unsigned long long)s->messages,
		(unsigned long long)s->message_bytes);
}

void report_classes(FILE *table, const report_row_t *row,
		    const workload_t *workload)
{
	for (uint32_t i = 0; i < workload->class_count; i++) {
		const tier_count_t *c = &row->stats.classes[i];

		fprintf(table,
			"  %-20s tier %u offered %6u good %6.2f%% refused %6u "
			"gone %6u lost %4u\n",
			workload->classes[i].name, workload->classes[i].tier,
			c->offered, report_goodput(c), c->refused, c->gone,
			c->lost);
	}
	for (uint32_t i = 0; i < workload->engine_count; i++)
		fprintf(table,
			"  engine %2u speed %.1f busy %6.1f s reading %6.1f s "
			"mean batch %4.1f\n",
			i + 1, workload->speeds[i], row->stats.busy[i],
			row->stats.reading[i],
			row->stats.busy[i] > 0
				? row->stats.batched[i] / row->stats.busy[i]
				: 0.0);
}
