#include "endpoint_path.h"

/* Between probes of a lost path; doubles with each that fails. */
#define PROBE_INTERVAL_MIN (250 * PIMENTO_MSEC)
#define PROBE_INTERVAL_MAX (2 * PIMENTO_SEC)
/* A suspect path is probed for requests that came within this time. */
#define WANTED_SPAN (1 * PIMENTO_SEC)
#define AVOIDED_SPAN (3 * PIMENTO_SEC)
#define ALIVE_SPAN (300 * PIMENTO_MSEC)

const char *endpoint_path_state_name(endpoint_path_state_t state)
{
	static const char *const names[] = { "open", "suspect", "lost" };

	return names[state];
}

void endpoint_path_init(endpoint_path_t *path)
{
	*path = (endpoint_path_t){ 0 };
}

bool endpoint_path_opened(endpoint_path_t *path, pimento_usec_t now)
{
	bool lost = path->state == ENDPOINT_PATH_LOST;

	path->state = ENDPOINT_PATH_OPEN;
	path->heard_at = now;
	path->tunnel_peer = 0;
	path->probe_interval = 0;
	path->ask_interval = 0;
	path->ask_at = 0;
	path->avoided_count = 0;
	return lost;
}

bool endpoint_path_failed(endpoint_path_t *path, pimento_usec_t now)
{
	bool lost = path->state == ENDPOINT_PATH_LOST;

	if (!lost)
		path->lost_at = now;
	path->state = ENDPOINT_PATH_LOST;
	path->probe_interval *= 2;
	if (path->probe_interval < PROBE_INTERVAL_MIN)
		path->probe_interval = PROBE_INTERVAL_MIN;
	if (path->probe_interval > PROBE_INTERVAL_MAX)
		path->probe_interval = PROBE_INTERVAL_MAX;
	path->probe_at = now + path->probe_interval;
	return !lost;
}

void endpoint_path_heard(endpoint_path_t *path, pimento_usec_t now)
{
	path->heard_at = now;
	if (path->state == ENDPOINT_PATH_SUSPECT)
		path->state = ENDPOINT_PATH_OPEN;
}

void endpoint_path_suspect(endpoint_path_t *path, pimento_usec_t now)
{
	path->lost_at = now;
	if (path->state != ENDPOINT_PATH_OPEN)
		return;
	path->state = ENDPOINT_PATH_SUSPECT;
	path->probe_at = now;
	path->tunnel_peer = 0;
}

void endpoint_path_tunnelled(endpoint_path_t *path, uint32_t peer)
{
	path->ask_interval = 0;
	path->tunnel_peer = peer;
}

void endpoint_path_avoid(endpoint_path_t *path, uint32_t peer,
			 pimento_usec_t now)
{
	if (path->avoided_until <= now)
		path->avoided_count = 0;
	if (path->avoided_count < ENDPOINT_PATH_AVOIDED_MAX)
		path->avoided[path->avoided_count++] = peer;
	path->avoided_until = now + AVOIDED_SPAN;
	if (path->tunnel_peer == peer)
		path->tunnel_peer = 0;
}

bool endpoint_path_allows_new(const endpoint_path_t *path)
{
	return path->state == ENDPOINT_PATH_OPEN;
}

bool endpoint_path_allows_open(const endpoint_path_t *path)
{
	return path->state == ENDPOINT_PATH_OPEN ||
	       path->heard_at > path->lost_at;
}

bool endpoint_path_is_blocked(const endpoint_path_t *path)
{
	return path->state == ENDPOINT_PATH_LOST && !path->tunnel_peer &&
	       !endpoint_path_allows_open(path);
}

bool endpoint_path_is_alive(const endpoint_path_t *path, pimento_usec_t now)
{
	return path->heard_at && now - path->heard_at < ALIVE_SPAN;
}

bool endpoint_path_begin_probe(endpoint_path_t *path, pimento_usec_t now)
{
	if (path->state == ENDPOINT_PATH_OPEN || now < path->probe_at)
		return false;
	if (path->state == ENDPOINT_PATH_SUSPECT &&
	    now - path->wanted_at > WANTED_SPAN)
		return false;
	path->probe_at = now + PROBE_INTERVAL_MIN;
	return true;
}
