/**
 * Soft state that entry instances share: their presence, target announcements, warm-up states,
 * version suspicions and poison requests.
 */
package org.waxwingbeam.peer;
