/**
 * Distributes configurations, entry views and leases from the control replicas to the entry
 * instances, and records the entry instances' claims of idempotency keys.
 */
package org.waxwingbeam.control;
