/** HTTP endpoint for the platform's liveness and readiness checks. */
package org.waxwingbeam.readiness.net;
