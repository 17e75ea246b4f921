/** Serves metrics over HTTP. */
package org.waxwingbeam.metrics.net;
