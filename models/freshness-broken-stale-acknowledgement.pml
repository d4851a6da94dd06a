/* Broken: an acknowledgement counts for ever. */
#define BROKEN_STALE_ACKNOWLEDGEMENT
#include "freshness.pml"
