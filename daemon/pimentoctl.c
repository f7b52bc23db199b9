/* The operators' command. */

#include "../pimentoshelf.h"

#include <stdio.h>

int main(void)
{
	puts("pimentoctl " PIMENTO_VERSION);
	return 0;
}
