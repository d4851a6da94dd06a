/* Entries expire while a query waits for a paused node: the request ran, but
 * the table without the expired entry reports "not run". The checker must
 * reject this. */
#define PLAIN_RETENTION
#include "attempt-outcome.pml"
