package org.waxwingbeam.model;

/**
 * States the parameters that a client account has been promised for one template.
 *
 * @param template the template that is filled in
 * @param parameters the values that override the template's
 * @since 0.1.0
 */
public record AccountTerms(TemplateName template, Parameters parameters) {}
