#ifndef POLICY_H
#define POLICY_H

/*
 * The policies that the bench compares. Each returns its own memory, which
 * policy->finish() frees.
 */

#include "world.h"

/* First come first served, endpoints in turn; the engines hold the line. */
policy_t *policy_round_robin(void);

/* The better of two endpoints by the published load, as late as it is. */
policy_t *policy_better_of_two(void);

/* The library's owner and route, one of each on every host. */
policy_t *policy_ours(void);

#define POLICIES 3
typedef policy_t *(*policy_new_t)(void);
extern const policy_new_t policies[POLICIES];

#endif
