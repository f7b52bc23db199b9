#include "host_load.h"

#define WINDOW (100 * PIMENTO_MSEC)
/* Part of the link's rate from which it is busy. */
#define BUSY_RATIO 0.5
/* A host that stood still receives nothing, and its link is no less busy. */
#define BUSY_HOLD (1 * PIMENTO_SEC)
/* Part of a request's time for its body; an endpoint needs the rest. */
#define BODY_TIME_RATIO 0.5
/* Bodies that are accepted later share the link: one takes up to so much longer. */
#define SHARING_FACTOR 2

void host_load_init(host_load_t *load, double link_rate)
{
	*load = (host_load_t){ .link_rate = link_rate };
}

void host_load_set_link_rate(host_load_t *load, double link_rate)
{
	load->link_rate = link_rate;
}

void host_load_add_received(host_load_t *load, uint64_t bytes,
			    pimento_usec_t now)
{
	const double window = (double)WINDOW / PIMENTO_SEC;

	if (now - load->window_since >= WINDOW) {
		load->window_since = now;
		load->window_bytes = 0;
	}
	load->window_bytes += bytes;
	if (load->link_rate > 0 &&
	    (double)load->window_bytes >= load->link_rate * window * BUSY_RATIO)
		load->busy_until = now + BUSY_HOLD;
}

void host_load_add_expected(host_load_t *load, uint64_t bytes)
{
	load->expected += bytes;
}

void host_load_remove_expected(host_load_t *load, uint64_t bytes)
{
	load->expected -= bytes < load->expected ? bytes : load->expected;
}

bool host_load_is_busy(const host_load_t *load, pimento_usec_t now)
{
	return load->link_rate > 0 && now < load->busy_until;
}

bool host_load_accepts(const host_load_t *load, uint64_t length,
		       pimento_usec_t time_left, pimento_usec_t now)
{
	double seconds = (double)time_left / PIMENTO_SEC * BODY_TIME_RATIO;

	if (!host_load_is_busy(load, now))
		return true;
	return (double)(load->expected + length) * SHARING_FACTOR <=
	       load->link_rate * seconds;
}
