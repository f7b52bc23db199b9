#include "fingerprint.h"

#include "exchange.h"

#include <string.h>
#include <xxhash.h>

/* With its end, so that no two lists of texts have the same bytes. */
static uint64_t add_text(uint64_t digest, const char *text)
{
	if (!text)
		text = "";
	return XXH3_64bits_withSeed(text, strlen(text) + 1, digest);
}

uint64_t fingerprint(const exchange_t *x)
{
	const httpd_conn_t *caller = x->caller;
	uint64_t digest = x->call.digest;

	digest = add_text(digest, x->account ? x->account->name : NULL);
	digest = add_text(digest, http_method_str(caller->parser.method));
	digest = add_text(digest, head_get(&caller->head, "host"));
	digest = add_text(digest, caller->target.bytes);
	digest = XXH3_64bits_withSeed(caller->body.bytes, caller->body.length,
				      digest);
	return digest ? digest : 1;
}
