/* A restarted node answers for its predecessor: the work ran there, and the
 * empty table says "not run". The checker must reject this. */
#define ANY_INCARNATION
#include "attempt-outcome.pml"
