/* Broken: the change is reported before the limit has passed. */
#define BROKEN_EARLY_REPORT
#include "freshness.pml"
