/** Answers the platform's readiness and liveness checks over HTTP. */
package org.waxwingbeam.readiness.net;
