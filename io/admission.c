/*
 * Asks whether a request is within its account's quota. Another host may keep
 * the account's bucket; the exchange waits for its answer.
 */

#include "exchange.h"

#include "sys.h"

static exchange_t *find(const gateway_t *gateway, uint64_t ticket)
{
	for (exchange_t *x = gateway->exchanges; x; x = x->next)
		if (x->quota_ticket == ticket)
			return x;
	return NULL;
}

static void on_decided(void *context, uint64_t ticket,
		       const quota_decision_t *verdict)
{
	exchange_t *x = find(context, ticket);

	if (!x)
		return; /* cannot be: asks end with their exchange */
	x->quota_ticket = 0;
	if (!verdict->admitted) {
		exchange_over_quota(x, verdict);
		return;
	}
	x->counted = true;
	x->quota_judge = verdict->deciding_host;
	arrival_admitted(x);
}

static void on_send(void *context, uint32_t address,
		    const quota_message_t *message)
{
	const gateway_t *gateway = context;

	if (gateway->send_quota)
		gateway->send_quota(gateway->send_context, address, message);
}

void admission_init(gateway_t *gateway, const gateway_setup_t *setup)
{
	quota_fleet_setup_t fleet = {
		.ops = &gateway->quota_ops,
		.context = gateway,
		.peers = setup->roster,
		.window = setup->bounds.quota_window,
		.first_start = setup->first_start,
	};

	gateway->quota_ops =
		(quota_fleet_ops_t){ .send = on_send, .decided = on_decided };
	quota_fleet_init(&gateway->quota, &fleet);
}

static double tokens_of(const exchange_t *x)
{
	if (x->account->counts_requests)
		return 1;
	return x->call.sized ? x->call.prompt + x->call.answer
			     : x->account->default_request_tokens;
}

void admission_begin(exchange_t *x)
{
	const catalog_account_t *account = x->account;
	quota_request_t request;

	if (!account || account->tokens_per_second <= 0) {
		arrival_admitted(x);
		return;
	}
	x->tokens = tokens_of(x);
	x->quota_ticket = gateway_draw(x->gateway) | 1;
	request = (quota_request_t){
		.ticket = x->quota_ticket,
		.account = account->key,
		.limit = { account->tokens_per_second, account->burst },
		.version = x->catalog->version,
		.tier = x->route->tier,
		.tokens = x->tokens,
	};
	if (quota_fleet_request(&x->gateway->quota, &request, sys_now())) {
		x->quota_ticket = 0;
		exchange_refuse(x, HTTP_STATUS_SERVICE_UNAVAILABLE, "memory");
	}
}

void admission_abandon(exchange_t *x)
{
	if (x->quota_ticket)
		quota_fleet_cancel(&x->gateway->quota, x->quota_ticket);
	x->quota_ticket = 0;
}

void admission_refund(exchange_t *x)
{
	if (x->counted)
		quota_fleet_refund(&x->gateway->quota, x->quota_judge,
				   x->account->key, x->tokens);
	x->counted = false;
}
