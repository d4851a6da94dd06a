/* Broken: a restarted voucher responds as eligible as soon as it is fresh. */
#define BROKEN_RESTART
#include "freshness.pml"
