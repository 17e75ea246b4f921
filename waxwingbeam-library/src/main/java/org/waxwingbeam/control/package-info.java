/**
 * Implements what entry instances and control replicas exchange: accepted configurations, entry
 * views, leases, and claims of idempotency keys.
 */
package org.waxwingbeam.control;
