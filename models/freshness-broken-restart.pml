/* Broken: a restarted voucher vouches as soon as it is fresh. */
#define BROKEN_RESTART
#include "freshness.pml"
