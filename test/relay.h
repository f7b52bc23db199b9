#ifndef TEST_RELAY_H
#define TEST_RELAY_H

/*
 * A TCP relay between two loopback ports inside the test process. It makes
 * network faults: a silent cut holds bytes back without closing anything, as a
 * partition does, and forwards them when mended, however late; a drop resets
 * what is open and accepts nothing more.
 */

#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

#define RELAY_LINKS_MAX 2048

/* Directions, as seen by who connects. */
enum { RELAY_TO = 1, RELAY_FROM = 2, RELAY_BOTH = 3 };

struct relay;

typedef struct relay_link {
	struct relay *relay;
	int near_fd; /* of who connected; -1: free */
	int far_fd;
	pthread_t to;
	pthread_t from;
	bool started;
} relay_link_t;

typedef struct relay {
	uint16_t port; /* to connect to */
	uint32_t address; /* of both sides, host byte order */
	uint16_t target;
	int listen_fd;
	pthread_t acceptor;
	pthread_mutex_t mutex; /* guards what follows */
	pthread_cond_t changed;
	int cut; /* directions held back */
	bool dropped;
	bool stopping;
	int delay_ms; /* for each piece of bytes, in each direction */
	uint32_t rate; /* bytes a second in each direction; 0: no limit */
	int64_t busy_until_us[RELAY_BOTH]; /* by direction */
	uint64_t bytes;
	uint32_t link_count;
	relay_link_t links[RELAY_LINKS_MAX]; /* of the whole run */
} relay_t;

/* Returns 0, or -1. */
int relay_init(relay_t *relay, uint16_t target);
/* Relays address:port, host byte order, to another port of that address. */
int relay_init_at(relay_t *relay, uint32_t address, uint16_t port,
		  uint16_t target);
void relay_finish(relay_t *relay);

void relay_cut(relay_t *relay, int directions);
void relay_drop(relay_t *relay);
void relay_mend(relay_t *relay); /* after a cut or a drop */
void relay_delay(relay_t *relay, int ms);
/* Bounds what all connections together carry, as a link does. */
void relay_rate(relay_t *relay, uint32_t bytes_per_second);

#endif
