/* Broken: the new allocation is accepted while holders can still spend shares
 * of the old one. */
#define BROKEN_EARLY_ACCEPTANCE
#include "share-transfer.pml"
