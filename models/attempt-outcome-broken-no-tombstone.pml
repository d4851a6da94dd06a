/* A query that finds no entry does not write a tombstone: the delayed request
 * runs after its sender was told "not run". The checker must reject this. */
#define NO_TOMBSTONE
#include "attempt-outcome.pml"
