/* Entries expire while a query waits for a paused node: the work ran, and
 * the expired table says "not run". The checker must reject this. */
#define PLAIN_RETENTION
#include "attempt-outcome.pml"
