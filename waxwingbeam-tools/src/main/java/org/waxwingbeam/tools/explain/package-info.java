/**
 * Finds in the logs of several processes what happened to one request: its attempts, and what the
 * entry instance knew when it made them.
 */
package org.waxwingbeam.tools.explain;
