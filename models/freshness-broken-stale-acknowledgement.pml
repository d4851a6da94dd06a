/* Broken: an acknowledgement never expires. */
#define BROKEN_STALE_ACKNOWLEDGEMENT
#include "freshness.pml"
