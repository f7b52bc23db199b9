/*
 * Compares two configurations by their effect on callers. Each contract name is
 * looked up for each account of either configuration, so that it makes no
 * difference whether a contract is written for one account or for all. Accounts
 * with the same change are listed in one sentence.
 */

#include "config_diff.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SENTENCE_MAX_BYTES 400

typedef struct diff {
	const pimento_config_t *before;
	const pimento_config_t *after;
	strbuf_t *text;
	int changes;
} diff_t;

/* Change of the contract with a given name for one account. */
typedef struct account_change {
	const char *account;
	char sentence[SENTENCE_MAX_BYTES]; /* "" if unchanged or written */
} account_change_t;

static void format_duration(char *text, size_t size, pimento_usec_t span)
{
	if (span % PIMENTO_SEC)
		snprintf(text, size, "%lld ms", (long long)(span / 1000));
	else
		snprintf(text, size, "%lld s", (long long)(span / PIMENTO_SEC));
}

__attribute__((format(printf, 2, 3))) static void
add_change(diff_t *diff, const char *format, ...)
{
	char sentence[SENTENCE_MAX_BYTES];
	va_list args;

	va_start(args, format);
	vsnprintf(sentence, sizeof(sentence), format, args);
	va_end(args);
	strbuf_addf(diff->text, "%s\n", sentence);
	diff->changes++;
}

static const config_account_t *find_account(const pimento_config_t *config,
					    const char *name)
{
	for (uint32_t i = 0; i < config->account_count; i++)
		if (!strcmp(config->accounts[i].name, name))
			return &config->accounts[i];
	return NULL;
}

static const config_tier_t *find_tier(const pimento_config_t *config,
				      const char *name)
{
	for (uint32_t i = 0; i < config->tier_count; i++)
		if (!strcmp(config->tiers[i].name, name))
			return &config->tiers[i];
	return NULL;
}

static const config_service_t *find_service(const pimento_config_t *config,
					    const char *name)
{
	for (uint32_t i = 0; i < config->service_count; i++)
		if (!strcmp(config->services[i].name, name))
			return &config->services[i];
	return NULL;
}

static const config_contract_t *find_contract(const pimento_config_t *config,
					      const char *account,
					      const char *name)
{
	if (!find_account(config, account))
		return NULL;
	for (uint32_t i = 0; i < config->contract_count; i++) {
		const config_contract_t *c = &config->contracts[i];

		if (!strcmp(c->name, name) &&
		    (!strcmp(c->account, "*") || !strcmp(c->account, account)))
			return c;
	}
	return NULL;
}

static void diff_evacuated(diff_t *diff)
{
	const evacuation_t *a = &diff->before->evacuated;
	const evacuation_t *b = &diff->after->evacuated;

	for (uint32_t i = 0; i < b->count; i++)
		if (!evacuation_includes(a, b->entries[i].datacentre))
			add_change(
				diff,
				"Data centre \"%s\" is evacuated: its endpoints "
				"get no new requests.",
				b->entries[i].datacentre);
	for (uint32_t i = 0; i < a->count; i++)
		if (!evacuation_includes(b, a->entries[i].datacentre))
			add_change(diff,
				   "Data centre \"%s\" is no longer evacuated.",
				   a->entries[i].datacentre);
}

static void diff_toplevel(diff_t *diff)
{
	const pimento_config_t *a = diff->before;
	const pimento_config_t *b = diff->after;

	if (strcmp(a->deployment, b->deployment) != 0)
		add_change(
			diff,
			"This is another deployment: \"%s\" instead of \"%s\".",
			b->deployment, a->deployment);
	if (a->body_max != b->body_max)
		add_change(
			diff,
			"Every caller: a request body may have %u bytes instead of %u.",
			b->body_max, a->body_max);
	if (a->retention != b->retention)
		add_change(
			diff,
			"Every caller: an idempotency key is remembered for %lld s "
			"instead of %lld s.",
			(long long)(b->retention / PIMENTO_SEC),
			(long long)(a->retention / PIMENTO_SEC));
	diff_evacuated(diff);
}

static void diff_tier(diff_t *diff, const config_tier_t *tier)
{
	const config_tier_t *old = find_tier(diff->before, tier->name);

	if (!old) {
		add_change(diff, "Tier \"%s\" is new, at position %u of %u.",
			   tier->name, tier->rank + 1U,
			   diff->after->tier_count);
		return;
	}
	if (old->rank != tier->rank)
		add_change(diff, "Tier \"%s\" is at position %u instead of %u.",
			   tier->name, tier->rank + 1U, old->rank + 1U);
}

static void diff_tiers(diff_t *diff)
{
	for (uint32_t i = 0; i < diff->after->tier_count; i++)
		diff_tier(diff, &diff->after->tiers[i]);
	for (uint32_t i = 0; i < diff->before->tier_count; i++)
		if (!find_tier(diff->after, diff->before->tiers[i].name))
			add_change(diff, "Tier \"%s\" is removed.",
				   diff->before->tiers[i].name);
}

static void diff_account(diff_t *diff, const config_account_t *account)
{
	const config_account_t *old = find_account(diff->before, account->name);

	if (!old) {
		add_change(diff, "Caller \"%s\" is new.", account->name);
		return;
	}
	if (memcmp(old->key_hash, account->key_hash, 32) != 0)
		add_change(
			diff,
			"Caller \"%s\" has a new API key; the old one is refused.",
			account->name);
	if (old->weight != account->weight)
		add_change(
			diff,
			"Caller \"%s\" gets a %s share under load (weight %u "
			"instead of %u).",
			account->name,
			account->weight > old->weight ? "larger" : "smaller",
			account->weight, old->weight);
}

static void diff_accounts(diff_t *diff)
{
	for (uint32_t i = 0; i < diff->after->account_count; i++)
		diff_account(diff, &diff->after->accounts[i]);
	for (uint32_t i = 0; i < diff->before->account_count; i++)
		if (!find_account(diff->after, diff->before->accounts[i].name))
			add_change(
				diff,
				"Caller \"%s\" is removed; its requests are refused.",
				diff->before->accounts[i].name);
}

/* Appends a clause to a sentence, separated by a comma from a previous one. */
__attribute__((format(printf, 2, 3))) static void
append_clause(char *sentence, const char *format, ...)
{
	size_t used = strlen(sentence);
	va_list args;

	if (used && used + 2 < SENTENCE_MAX_BYTES) {
		memcpy(sentence + used, ", ", 3);
		used += 2;
	}
	va_start(args, format);
	vsnprintf(sentence + used, SENTENCE_MAX_BYTES - used, format, args);
	va_end(args);
}

static bool same_call(const config_contract_t *a, const config_contract_t *b)
{
	return a->target == b->target &&
	       !strcmp(a->target_name, b->target_name) &&
	       !strcmp(a->method, b->method) && !strcmp(a->path, b->path);
}

static void format_call(char *text, size_t size, const config_contract_t *c)
{
	if (c->target == CONFIG_TARGET_MODEL)
		snprintf(text, size, "model \"%s\"", c->target_name);
	else
		snprintf(text, size, "service \"%s\" (%s %s)", c->target_name,
			 c->method[0] ? c->method : "any method",
			 c->path[0] ? c->path : "any path");
}

static void compare_contracts(const diff_t *diff, char *sentence,
			      const config_contract_t *a,
			      const config_contract_t *b)
{
	const char *tier_a = diff->before->tiers[a->tier].name;
	const char *tier_b = diff->after->tiers[b->tier].name;
	char new_text[256];
	char old_text[256];

	if (!same_call(a, b)) {
		format_call(new_text, sizeof(new_text), b);
		format_call(old_text, sizeof(old_text), a);
		append_clause(sentence, "is sent to %s instead of %s", new_text,
			      old_text);
	}
	if (strcmp(tier_a, tier_b) != 0)
		append_clause(sentence,
			      "is served in tier \"%s\" instead of \"%s\"",
			      tier_b, tier_a);
	if (a->timeout != b->timeout) {
		format_duration(new_text, sizeof(new_text), b->timeout);
		format_duration(old_text, sizeof(old_text), a->timeout);
		append_clause(sentence, "times out after %s instead of %s",
			      new_text, old_text);
	}
	if (a->repeatable != b->repeatable)
		append_clause(
			sentence, "%s",
			b->repeatable
				? "may now be repeated"
				: "may no longer be repeated and needs an "
				  "idempotency key");
	if (a->answer_tokens != b->answer_tokens)
		append_clause(
			sentence,
			"is expected to have answers of %u tokens instead of %u",
			b->answer_tokens, a->answer_tokens);
}

static void find_account_change(const diff_t *diff, const char *name,
				account_change_t *account_change)
{
	const config_contract_t *a =
		find_contract(diff->before, account_change->account, name);
	const config_contract_t *b =
		find_contract(diff->after, account_change->account, name);

	account_change->sentence[0] = '\0';
	if (a && b)
		compare_contracts(diff, account_change->sentence, a, b);
	else if (b)
		append_clause(account_change->sentence,
			      "may now be sent, in tier \"%s\"",
			      diff->after->tiers[b->tier].name);
	else if (a)
		append_clause(account_change->sentence,
			      "may no longer be sent");
}

/*
 * Writes the sentence of account_changes[first] with the names of all accounts
 * that have the same sentence, and empties the sentences of these accounts so
 * that each account is written once.
 */
static void add_account_changes(diff_t *diff, const char *name,
				account_change_t *account_changes,
				uint32_t count, uint32_t first)
{
	char sentence[SENTENCE_MAX_BYTES];
	uint32_t same_count = 0;

	memcpy(sentence, account_changes[first].sentence, sizeof(sentence));
	for (uint32_t i = first; i < count; i++)
		same_count += !strcmp(account_changes[i].sentence, sentence);
	strbuf_addf(diff->text, "Request \"%s\" %s, for ", name, sentence);
	if (same_count == count)
		strbuf_addf(diff->text, "every caller");
	for (uint32_t i = first; i < count; i++) {
		if (strcmp(account_changes[i].sentence, sentence) != 0)
			continue;
		if (same_count != count)
			strbuf_addf(diff->text, "%s\"%s\"",
				    i > first ? ", " : "",
				    account_changes[i].account);
		account_changes[i].sentence[0] = '\0';
	}
	strbuf_addf(diff->text, ".\n");
	diff->changes++;
}

static void diff_request(diff_t *diff, const char *name,
			 account_change_t *account_changes, uint32_t count)
{
	for (uint32_t i = 0; i < count; i++)
		find_account_change(diff, name, &account_changes[i]);
	for (uint32_t i = 0; i < count; i++)
		if (account_changes[i].sentence[0])
			add_account_changes(diff, name, account_changes, count,
					    i);
}

static bool is_duplicate_name(const pimento_config_t *config, uint32_t index)
{
	for (uint32_t i = 0; i < index; i++)
		if (!strcmp(config->contracts[i].name,
			    config->contracts[index].name))
			return true;
	return false;
}

static bool has_contract_named(const pimento_config_t *config, const char *name)
{
	for (uint32_t i = 0; i < config->contract_count; i++)
		if (!strcmp(config->contracts[i].name, name))
			return true;
	return false;
}

static uint32_t collect_accounts(const diff_t *diff,
				 account_change_t *account_changes)
{
	const pimento_config_t *a = diff->before;
	const pimento_config_t *b = diff->after;
	uint32_t count = 0;

	for (uint32_t i = 0; i < b->account_count; i++)
		account_changes[count++].account = b->accounts[i].name;
	for (uint32_t i = 0; i < a->account_count; i++)
		if (!find_account(b, a->accounts[i].name))
			account_changes[count++].account = a->accounts[i].name;
	return count;
}

static int diff_requests(diff_t *diff)
{
	const pimento_config_t *a = diff->before;
	const pimento_config_t *b = diff->after;
	account_change_t *account_changes =
		calloc((size_t)a->account_count + b->account_count + 1,
		       sizeof(*account_changes));
	uint32_t count;

	if (!account_changes)
		return PIMENTO_ENOMEM;
	count = collect_accounts(diff, account_changes);
	for (uint32_t i = 0; i < b->contract_count; i++)
		if (!is_duplicate_name(b, i))
			diff_request(diff, b->contracts[i].name,
				     account_changes, count);
	for (uint32_t i = 0; i < a->contract_count; i++)
		if (!is_duplicate_name(a, i) &&
		    !has_contract_named(b, a->contracts[i].name))
			diff_request(diff, a->contracts[i].name,
				     account_changes, count);
	free(account_changes);
	return PIMENTO_OK;
}

static void diff_services(diff_t *diff)
{
	const pimento_config_t *a = diff->before;
	const pimento_config_t *b = diff->after;

	for (uint32_t i = 0; i < b->service_count; i++) {
		const config_service_t *s = &b->services[i];
		const config_service_t *old = find_service(a, s->name);

		if (!old)
			add_change(diff, "Service \"%s\" is new, below %s.",
				   s->name, s->prefix);
		else if (strcmp(old->prefix, s->prefix) != 0)
			add_change(
				diff,
				"Service \"%s\" is below %s instead of %s, for "
				"every caller.",
				s->name, s->prefix, old->prefix);
	}
	for (uint32_t i = 0; i < a->service_count; i++)
		if (!find_service(b, a->services[i].name))
			add_change(diff, "Service \"%s\" is removed.",
				   a->services[i].name);
}

static bool same_location(const config_endpoint_t *a,
			  const config_endpoint_t *b)
{
	return a->port == b->port && !strcmp(a->address, b->address) &&
	       !strcmp(a->datacentre, b->datacentre);
}

static void compare_endpoints(char *sentence, const config_endpoint_t *a,
			      const config_endpoint_t *b)
{
	if (a->target != b->target ||
	    strcmp(a->target_name, b->target_name) != 0)
		append_clause(sentence, "serves \"%s\" instead of \"%s\"",
			      b->target_name, a->target_name);
	if (!same_location(a, b))
		append_clause(sentence,
			      "is at %s:%u in %s instead of %s:%u in %s",
			      b->address, b->port, b->datacentre, a->address,
			      a->port, a->datacentre);
	if (a->concurrency != b->concurrency)
		append_clause(sentence,
			      "takes %u requests at once instead of %u",
			      b->concurrency, a->concurrency);
	if (a->context_tokens != b->context_tokens)
		append_clause(sentence,
			      "accepts requests of up to %u tokens instead of "
			      "%u (0: no limit)",
			      b->context_tokens, a->context_tokens);
	if (a->fencing != b->fencing)
		append_clause(sentence, "%s fencing numbers",
			      b->fencing ? "now checks" : "no longer checks");
}

static void diff_endpoint(diff_t *diff, const config_endpoint_t *endpoint)
{
	const config_endpoint_t *old =
		pimento_config_find_endpoint(diff->before, endpoint->id);
	char sentence[SENTENCE_MAX_BYTES] = "";

	if (!old) {
		add_change(diff,
			   "Endpoint \"%s\" in %s is new: it serves \"%s\", %u "
			   "requests at once.",
			   endpoint->name, endpoint->datacentre,
			   endpoint->target_name, endpoint->concurrency);
		return;
	}
	compare_endpoints(sentence, old, endpoint);
	if (sentence[0])
		add_change(diff, "Endpoint \"%s\" %s.", endpoint->name,
			   sentence);
}

/* Orders endpoints by name for the output; configurations sort them by id. */
static int compare_endpoint_names(const void *left, const void *right)
{
	const config_endpoint_t *const *a = left;
	const config_endpoint_t *const *b = right;

	return strcmp((*a)->name, (*b)->name);
}

static const config_endpoint_t **sort_endpoints(const pimento_config_t *config)
{
	const config_endpoint_t **list = calloc(
		(size_t)config->endpoint_count + 1, sizeof(const void *));

	if (!list)
		return NULL;
	for (uint32_t i = 0; i < config->endpoint_count; i++)
		list[i] = &config->endpoints[i];
	qsort(list, config->endpoint_count, sizeof(const void *),
	      compare_endpoint_names);
	return list;
}

static int diff_endpoints(diff_t *diff)
{
	const config_endpoint_t **before = sort_endpoints(diff->before);
	const config_endpoint_t **after = sort_endpoints(diff->after);
	int error = before && after ? PIMENTO_OK : PIMENTO_ENOMEM;

	for (uint32_t i = 0; !error && i < diff->after->endpoint_count; i++)
		diff_endpoint(diff, after[i]);
	for (uint32_t i = 0; !error && i < diff->before->endpoint_count; i++)
		if (!pimento_config_find_endpoint(diff->after, before[i]->id))
			add_change(
				diff,
				"Endpoint \"%s\" is removed; it gets no new requests.",
				before[i]->name);
	free((void *)before);
	free((void *)after);
	return error;
}

int config_diff(const pimento_config_t *old_config,
		const pimento_config_t *new_config, strbuf_t *text)
{
	diff_t diff = { old_config, new_config, text, 0 };
	int error;

	diff_toplevel(&diff);
	diff_tiers(&diff);
	diff_accounts(&diff);
	error = diff_requests(&diff);
	if (error)
		return error;
	diff_services(&diff);
	error = diff_endpoints(&diff);
	if (error)
		return error;
	return strbuf_error(text) ? PIMENTO_ENOMEM : diff.changes;
}
