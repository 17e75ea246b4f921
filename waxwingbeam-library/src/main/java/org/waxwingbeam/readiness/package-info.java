/** Decides whether an entry instance is ready for new requests. */
package org.waxwingbeam.readiness;
