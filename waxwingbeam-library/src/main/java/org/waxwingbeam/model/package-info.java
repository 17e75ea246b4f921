/**
 * Describes the domain: services, targets, data centres, client accounts, templates and versions.
 */
package org.waxwingbeam.model;
