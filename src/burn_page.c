/*
 * Writes burn reports as a text table and as an HTML page. The plots are inline
 * SVG with one bar for each bucket of five minutes. Burn rates are plotted with
 * a line at 1, the rate that uses up the error budget exactly.
 */

#include "burn_page.h"

#include <stdio.h>
#include <string.h>

#define PLOT_WIDTH 720.0
#define PLOT_HEIGHT 110.0
#define PLOT_LEFT 56
#define PLOT_TOP 14
#define IMAGE_WIDTH 800
#define IMAGE_HEIGHT 150
#define BAR_WIDTH (PLOT_WIDTH / BURN_COARSE_BUCKETS)

#define RATE_AXIS_MIN 2.0 /* keeps the line at rate 1 inside the plot */
#define PLOT_HOURS 24
#define TICK_HOURS 6

static const char *const window_names[BURN_WINDOWS] = { "5 min", "30 min",
							"1 h", "6 h", "24 h" };

static void format_rate(char *to, size_t size, const burn_report_t *report,
			int window)
{
	burn_count_t count = report->windows[window];

	if (!count.total)
		snprintf(to, size, "-");
	else
		snprintf(to, size, "%.2f", burn_rate(count, report->objective));
}

static void format_objective(char *to, size_t size, double objective)
{
	snprintf(to, size, "%.2f %%", objective * 100);
}

static void add_text_row(const burn_report_t *report, strbuf_t *text)
{
	const burn_count_t *day = &report->windows[BURN_WINDOWS - 1];
	char cell[32];

	format_objective(cell, sizeof(cell), report->objective);
	strbuf_addf(text, "%-20s %9s", report->tier, cell);
	for (int i = 0; i < BURN_WINDOWS; i++) {
		format_rate(cell, sizeof(cell), report, i);
		strbuf_addf(text, " %8s", cell);
	}
	strbuf_addf(text, " %12llu %12llu  %s\n", (unsigned long long)day->good,
		    (unsigned long long)day->total,
		    burn_state_name(burn_evaluate(report)));
}

void burn_write_table(const burn_report_t *reports, uint32_t count,
		      strbuf_t *text)
{
	strbuf_addf(text, "%-20s %9s", "TIER", "OBJECTIVE");
	for (int i = 0; i < BURN_WINDOWS; i++)
		strbuf_addf(text, " %8s", window_names[i]);
	strbuf_addf(text, " %12s %12s  %s\n", "GOOD 24 h", "ALL 24 h", "STATE");
	for (uint32_t i = 0; i < count; i++)
		add_text_row(&reports[i], text);
	if (!count)
		strbuf_addf(text, "no requests counted so far\n");
}

static void add_escaped(strbuf_t *text, const char *from)
{
	for (; *from; from++) {
		if (*from == '<')
			strbuf_addf(text, "&lt;");
		else if (*from == '&')
			strbuf_addf(text, "&amp;");
		else if (*from == '"')
			strbuf_addf(text, "&quot;");
		else if ((unsigned char)*from >= 0x20)
			strbuf_add(text, from, 1);
	}
}

/* Left edge of a bucket's bar; the newest bucket (age 0) is rightmost. */
static double age_to_x(int age)
{
	return PLOT_LEFT + (BURN_COARSE_BUCKETS - 1 - age) * BAR_WIDTH;
}

static double value_to_y(double value, double axis_max)
{
	double part = value < axis_max ? value / axis_max : 1;

	return PLOT_TOP + PLOT_HEIGHT * (1 - part);
}

static void add_axes(double axis_max, const char *unit, strbuf_t *text)
{
	double bottom = PLOT_TOP + PLOT_HEIGHT;

	strbuf_addf(text,
		    "<line class=\"axis\" x1=\"%d\" y1=\"%.1f\" x2=\"%.1f\" "
		    "y2=\"%.1f\"/>\n",
		    PLOT_LEFT, bottom, PLOT_LEFT + PLOT_WIDTH, bottom);
	strbuf_addf(text, "<text class=\"y\" x=\"%d\" y=\"%d\">%g</text>\n",
		    PLOT_LEFT - 6, PLOT_TOP + 4, axis_max);
	strbuf_addf(text, "<text class=\"y\" x=\"%d\" y=\"%.1f\">0</text>\n",
		    PLOT_LEFT - 6, bottom + 4);
	strbuf_addf(text, "<text x=\"%d\" y=\"%d\">%s</text>\n", PLOT_LEFT + 4,
		    PLOT_TOP - 4, unit);
	for (int hour = 0; hour <= PLOT_HOURS; hour += TICK_HOURS) {
		double x = PLOT_LEFT +
			   PLOT_WIDTH * (PLOT_HOURS - hour) / PLOT_HOURS;

		strbuf_addf(text,
			    "<text class=\"x\" x=\"%.1f\" y=\"%.1f\">%s%d "
			    "h</text>\n",
			    x, bottom + 16, hour ? "-" : "", hour);
	}
}

static void begin_svg(const char *label, strbuf_t *text)
{
	strbuf_addf(text,
		    "<svg viewBox=\"0 0 %d %d\" role=\"img\" "
		    "aria-label=\"%s\">\n",
		    IMAGE_WIDTH, IMAGE_HEIGHT, label);
}

static uint64_t max_bucket_requests(const burn_report_t *report)
{
	uint64_t most = 1;

	for (int age = 0; age < BURN_COARSE_BUCKETS; age++)
		if (report->series[age].total > most)
			most = report->series[age].total;
	return most;
}

static void add_bar(const char *style, int age, double from, double to,
		    double axis_max, strbuf_t *text)
{
	if (to <= from)
		return;
	strbuf_addf(text,
		    "<rect class=\"%s\" x=\"%.1f\" y=\"%.1f\" width=\"%.1f\" "
		    "height=\"%.1f\"/>\n",
		    style, age_to_x(age), value_to_y(to, axis_max), BAR_WIDTH,
		    value_to_y(from, axis_max) - value_to_y(to, axis_max));
}

static void add_requests(const burn_report_t *report, strbuf_t *text)
{
	double axis_max = (double)max_bucket_requests(report);

	begin_svg("requests per five minutes", text);
	for (int age = BURN_COARSE_BUCKETS - 1; age >= 0; age--) {
		double good = (double)report->series[age].good;
		double total = (double)report->series[age].total;

		add_bar("good", age, 0, good, axis_max, text);
		add_bar("bad", age, good, total, axis_max, text);
	}
	add_axes(axis_max, "requests per 5 min", text);
	strbuf_addf(text, "</svg>\n");
}

/* The first of 1, 2, 5, 10, 20, 50, ... that is not below the value. */
static double round_up_axis_max(double value)
{
	static const double steps[] = { 2, 2.5, 2 };
	double axis_max = 1;

	for (int i = 0; axis_max < value; i++)
		axis_max *= steps[i % 3];
	return axis_max;
}

static double rate_axis_max(const burn_report_t *report)
{
	double highest = RATE_AXIS_MIN;

	for (int age = 0; age < BURN_COARSE_BUCKETS; age++) {
		double rate = burn_rate(report->series[age], report->objective);

		if (rate > highest)
			highest = rate;
	}
	return round_up_axis_max(highest);
}

static void add_rates(const burn_report_t *report, strbuf_t *text)
{
	double axis_max = rate_axis_max(report);

	begin_svg("burn rate", text);
	for (int age = BURN_COARSE_BUCKETS - 1; age >= 0; age--) {
		double rate = burn_rate(report->series[age], report->objective);

		add_bar(rate > 1 ? "bad" : "good", age, 0, rate, axis_max,
			text);
	}
	strbuf_addf(text,
		    "<line class=\"budget\" x1=\"%d\" y1=\"%.1f\" x2=\"%.1f\" "
		    "y2=\"%.1f\"/>\n",
		    PLOT_LEFT, value_to_y(1, axis_max), PLOT_LEFT + PLOT_WIDTH,
		    value_to_y(1, axis_max));
	strbuf_addf(text, "<text x=\"%.1f\" y=\"%.1f\">1</text>\n",
		    PLOT_LEFT + PLOT_WIDTH + 4, value_to_y(1, axis_max) + 4);
	add_axes(axis_max, "burn rate over 5 min", text);
	strbuf_addf(text, "</svg>\n");
}

static void add_html_row(const burn_report_t *report, strbuf_t *text)
{
	const char *state = burn_state_name(burn_evaluate(report));
	const burn_count_t *day = &report->windows[BURN_WINDOWS - 1];
	char cell[32];

	format_objective(cell, sizeof(cell), report->objective);
	strbuf_addf(text, "<tr><th scope=\"row\">");
	add_escaped(text, report->tier);
	strbuf_addf(text, "</th><td>%s</td>", cell);
	for (int i = 0; i < BURN_WINDOWS; i++) {
		format_rate(cell, sizeof(cell), report, i);
		strbuf_addf(text, "<td>%s</td>", cell);
	}
	strbuf_addf(text,
		    "<td>%llu</td><td>%llu</td><td class=\"%s\">%s</td></tr>\n",
		    (unsigned long long)day->good,
		    (unsigned long long)day->total, state, state);
}

static void add_html_table(const burn_report_t *reports, uint32_t count,
			   strbuf_t *text)
{
	strbuf_addf(text, "<table>\n<tr><th scope=\"col\">tier</th>"
			  "<th scope=\"col\">objective</th>");
	for (int i = 0; i < BURN_WINDOWS; i++)
		strbuf_addf(text, "<th scope=\"col\">%s</th>", window_names[i]);
	strbuf_addf(text, "<th scope=\"col\">good, 24 h</th>"
			  "<th scope=\"col\">all, 24 h</th>"
			  "<th scope=\"col\">state</th></tr>\n");
	for (uint32_t i = 0; i < count; i++)
		add_html_row(&reports[i], text);
	strbuf_addf(text, "</table>\n");
}

static const char style[] =
	"<style>\n"
	"body { font: 15px/1.5 sans-serif; margin: 2em auto; max-width: 60em;"
	" padding: 0 1em; color: #222; background: #fff }\n"
	"table { border-collapse: collapse }\n"
	"th, td { padding: .25em .8em; text-align: right;"
	" border-bottom: 1px solid #ccc }\n"
	"th:first-child { text-align: left }\n"
	"td.fast, td.slow { background: #d55e00; color: #fff }\n"
	"td.spent { background: #f0c27b }\n"
	"svg { width: 100%; height: auto; display: block }\n"
	"svg text { font: 11px sans-serif; fill: #444 }\n"
	"svg text.y { text-anchor: end }\n"
	"svg text.x { text-anchor: middle }\n"
	"rect.good { fill: #0072b2 }\n"
	"rect.bad { fill: #d55e00 }\n"
	"line.axis { stroke: #444 }\n"
	"line.budget { stroke: #444; stroke-dasharray: 4 3 }\n"
	"</style>\n";

static void add_head(size_t hosts, const char *when, strbuf_t *text)
{
	strbuf_addf(text, "<!DOCTYPE html>\n<html lang=\"en\">\n<head>\n"
			  "<meta charset=\"utf-8\"/>\n"
			  "<title>Service-level burn</title>\n");
	strbuf_add(text, style, sizeof(style) - 1);
	strbuf_addf(text, "</head>\n<body>\n<h1>Service-level burn</h1>\n<p>");
	add_escaped(text, when);
	strbuf_addf(
		text,
		", counts of %zu host%s. A request is good if it was answered "
		"completely before its timeout. A burn rate of 1 uses up the "
		"error budget exactly as fast as the objective allows.</p>"
		"\n",
		hosts, hosts == 1 ? "" : "s");
}

void burn_write_html(const burn_report_t *reports, uint32_t count, size_t hosts,
		     const char *when, strbuf_t *text)
{
	add_head(hosts, when, text);
	add_html_table(reports, count, text);
	for (uint32_t i = 0; i < count; i++) {
		strbuf_addf(text, "<h2>");
		add_escaped(text, reports[i].tier);
		strbuf_addf(text, "</h2>\n");
		add_requests(&reports[i], text);
		add_rates(&reports[i], text);
	}
	strbuf_addf(text, "</body>\n</html>\n");
}
