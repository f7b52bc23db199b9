/* The daemon: thin over the library. */

#include "../pimentoshelf.h"

#include <stdio.h>

int main(void)
{
	puts("pimentod " PIMENTO_VERSION);
	return 0;
}
