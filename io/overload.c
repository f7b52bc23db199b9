#include "overload.h"

#include "return_time.h"
#include "sys.h"
#include "trail.h"

/* Between two lines about the demand of one service. */
#define LOG_SPACING (1 * PIMENTO_SEC)

/* Also before the queue has marked it: it may have waited for its quota. */
static bool is_overdue(const exchange_t *x, pimento_usec_t now)
{
	return x->wait.overdue || now >= x->wait.overdue_at;
}

static uint64_t rank_of(const exchange_t *x, pimento_usec_t now)
{
	return is_overdue(x, now) ? DEMAND_RANK_OVERDUE : x->wait.rank;
}

/* Time after which a slot is of no use to the request. */
static pimento_usec_t slack_of(const exchange_t *x, pimento_usec_t now)
{
	return (is_overdue(x, now) ? x->wait.expires_at : x->wait.overdue_at) -
	       now;
}

static uint32_t host_count(const gateway_t *gateway, pimento_usec_t now)
{
	return peers_host_count(gateway->roster, now);
}

static bool exceeds(const exchange_t *x, pimento_usec_t now)
{
	const demand_request_t request = {
		.rank = rank_of(x, now),
		.slot_time = x->wait.slot_time,
		.slack = slack_of(x, now),
	};

	return demand_exceeds(&x->service->demand, &request,
			      host_count(x->gateway, now), now);
}

bool overload_reject(exchange_t *x, pimento_usec_t now)
{
	demand_add_arrival(&x->service->demand, rank_of(x, now),
			   x->wait.slot_time);
	if (!x->gateway->bounds.early_rejection || !exceeds(x, now) ||
	    !placing_is_full(x, now))
		return false;
	x->service->rejected++;
	exchange_refuse(x, HTTP_STATUS_SERVICE_UNAVAILABLE, "overload");
	return true;
}

void overload_set_returned(exchange_t *x, const wait_queue_timing_t *timing)
{
	gateway_service_t *service = x->service;
	bool fits = return_time_fits(&service->demand, x->wait.rank,
				     host_count(x->gateway, x->arrived),
				     x->arrived);

	service->returned++;
	service->returned_first += fits;
	wait_queue_set_returned(&x->wait, timing, fits);
}

pimento_usec_t overload_retry_after(exchange_t *x)
{
	gateway_t *gateway = x->gateway;
	gateway_service_t *service = x->service;
	pimento_usec_t now = sys_now();
	const return_request_t request = {
		/* most callers retry once */
		.slot_time = x->returned ? 0 : x->wait.slot_time,
		.time_left = x->end - now,
	};
	pimento_random_t random;

	if (!service || !gateway->bounds.early_rejection)
		return wait_queue_retry_after(service ? service->line.count : 0,
					      service ? service->per_second : 0,
					      gateway_draw(gateway));
	pimento_random_init(&random, gateway_draw(gateway));
	service->promised += !x->returned;
	return return_time_promise(&service->demand, &request,
				   host_count(gateway, now), &random, now);
}

void overload_begun(const exchange_t *x)
{
	demand_add_begun(&x->service->demand, x->wait.slot_time);
}

static void measure(gateway_service_t *service, pimento_usec_t now)
{
	demand_clear_waiting(&service->demand);
	for (const wait_queue_item_t *item = service->line.first; item;
	     item = item->next)
		demand_add_waiting(&service->demand,
				   rank_of((const exchange_t *)item, now),
				   item->slot_time);
	demand_measure(&service->demand, now);
}

static void report(gateway_t *gateway, gateway_service_t *service,
		   pimento_usec_t now)
{
	const demand_report_t part = {
		.service = (uint32_t)service->key,
		.address = gateway->slots->self,
		.demand = service->demand.own,
	};
	uint32_t keeper;

	if (!demand_report_is_due(&service->demand, host_count(gateway, now),
				  now))
		return;
	keeper = peers_owner(gateway->roster, service->key);
	if (keeper == gateway->slots->self)
		gateway_receive_demand(gateway, &part);
	else
		gateway->send_demand(gateway->send_context, keeper, &part);
}

/* A request that has run is owed an answer, whatever the load. */
static bool may_reject(const exchange_t *x)
{
	return x->wait.overdue && !x->runs && !x->silent.attempt.conn;
}

/* Returns true if one was rejected, which may have ended others too. */
static bool reject_overdue(gateway_service_t *service, pimento_usec_t now)
{
	for (wait_queue_item_t *item = service->line.last; item;
	     item = item->prev) {
		exchange_t *x = (exchange_t *)item;

		if (!may_reject(x) || !exceeds(x, now) ||
		    !placing_is_full(x, now))
			continue;
		service->rejected++;
		exchange_refuse(x, HTTP_STATUS_SERVICE_UNAVAILABLE, "overload");
		return true;
	}
	return false;
}

static void log_demand(gateway_service_t *service, uint32_t hosts,
		       pimento_usec_t now)
{
	const demand_t *sum = &service->demand.sum;
	double waiting = 0;
	double arriving = 0;
	double due = 0;

	if (service->rejected == service->rejected_logged ||
	    now - service->demand_logged_at < LOG_SPACING)
		return;
	for (uint32_t i = 0; i < sum->band_count; i++) {
		waiting += sum->bands[i].waiting;
		arriving += sum->bands[i].arriving;
	}
	for (uint32_t i = 0; i < DEMAND_STEPS_A_SECOND; i++)
		due += sum->due[i];
	trail(TRAIL_STATE, "overload", "rejects",
	      "service=%llx rejected=%llu promised=%llu returned=%llu first=%llu "
	      "hosts=%u of=%u age_ms=%lld waiting_s=%.1f arriving_s=%.1f "
	      "beginning_s=%.1f due_s=%.1f",
	      (unsigned long long)service->key,
	      (unsigned long long)(service->rejected -
				   service->rejected_logged),
	      (unsigned long long)service->promised,
	      (unsigned long long)service->returned,
	      (unsigned long long)service->returned_first, sum->hosts, hosts,
	      service->demand.sum_at
		      ? (long long)((now - service->demand.sum_at) /
				    PIMENTO_MSEC)
		      : -1,
	      waiting, arriving, sum->beginning, due);
	service->rejected_logged = service->rejected;
	service->demand_logged_at = now;
}

void overload_tick(gateway_t *gateway, gateway_service_t *service,
		   pimento_usec_t now)
{
	measure(service, now);
	report(gateway, service, now);
	while (gateway->bounds.early_rejection && reject_overdue(service, now))
		;
	log_demand(service, host_count(gateway, now), now);
}

void overload_finish(gateway_service_t *service)
{
	demand_keeper_finish(&service->keeper);
}

/* Adds a host's part to those of the others, and replies with the sum. */
static void keep(gateway_t *gateway, gateway_service_t *service,
		 const demand_report_t *part, pimento_usec_t now)
{
	demand_report_t reply = {
		.service = part->service,
		.address = gateway->slots->self,
		.is_sum = true,
	};

	if (demand_keeper_receive(&service->keeper, part, now))
		return; /* no memory: hosts go by their own parts */
	demand_keeper_add_up(&service->keeper, host_count(gateway, now), now,
			     &reply.demand);
	if (part->address == gateway->slots->self)
		demand_set_sum(&service->demand, &reply.demand, now);
	else
		gateway->send_demand(gateway->send_context, part->address,
				     &reply);
}

/* A keeper may have had no request for the service itself. */
static void find_service(gateway_t *gateway, uint32_t key)
{
	const catalog_t *catalog = gateway->catalog;

	for (uint32_t i = 0; catalog && i < catalog->service_count; i++)
		if ((uint32_t)catalog->services[i].key == key)
			(void)gateway_service(gateway,
					      catalog->services[i].key);
}

void gateway_receive_demand(gateway_t *gateway, const demand_report_t *report)
{
	pimento_usec_t now = sys_now();

	if (!report->is_sum)
		find_service(gateway, report->service);
	for (uint32_t i = 0; i < gateway->service_count; i++) {
		gateway_service_t *service = gateway->services[i];

		if ((uint32_t)service->key != report->service)
			continue;
		if (report->is_sum)
			demand_set_sum(&service->demand, &report->demand, now);
		else
			keep(gateway, service, report, now);
	}
}
