/* A restarted node responds to queries about its previous incarnation: the
 * request ran there, but the empty table reports "not run". The checker must
 * reject this. */
#define ANY_INCARNATION
#include "attempt-outcome.pml"
