/**
 * Decides what becomes of each caller's request: where it belongs, and whether it is sent again.
 */
package org.waxwingbeam.caller;
