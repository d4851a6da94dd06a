/* Broken: the new allocation is accepted while old holders can still spend. */
#define BROKEN_EARLY_ACCEPTANCE
#include "share-transfer.pml"
