/* Broken: the change is reported as accepted before the freshness limit has
 * elapsed. */
#define BROKEN_EARLY_REPORT
#include "freshness.pml"
