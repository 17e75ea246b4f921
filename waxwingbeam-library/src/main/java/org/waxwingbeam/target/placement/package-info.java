/**
 * Places requests on targets by what targets report of their load on every answer, by what this
 * entry instance has under way, and by how far each target can be trusted.
 */
package org.waxwingbeam.target.placement;
