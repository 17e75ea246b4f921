/**
 * The domain model: services, targets, data centres, client accounts, templates, routes and
 * versions. Depends on no other package.
 */
package org.waxwingbeam.model;
