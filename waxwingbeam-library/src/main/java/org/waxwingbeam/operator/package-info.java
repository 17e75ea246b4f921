/**
 * Validates and applies the changes that operators make to the configuration and to the routing
 * state.
 */
package org.waxwingbeam.operator;
