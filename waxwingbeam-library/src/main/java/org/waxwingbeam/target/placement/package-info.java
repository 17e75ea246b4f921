/**
 * Selects the target of each request from the load that targets report with every response, the
 * requests that this entry instance has outstanding, and the recent failures of each target.
 */
package org.waxwingbeam.target.placement;
