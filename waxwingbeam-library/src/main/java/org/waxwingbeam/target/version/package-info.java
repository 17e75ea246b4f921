/** Selects the version of a service for each request, and runs canary analysis of new versions. */
package org.waxwingbeam.target.version;
