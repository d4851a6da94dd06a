/* Broken: a restarted voucher is eligible as soon as it is fresh. */
#define BROKEN_RESTART
#include "freshness.pml"
