package org.waxwingbeam.model;

/**
 * A client account's parameter values for one template.
 *
 * @param template the template that the account may use
 * @param parameters the values that override those of the template
 * @since 0.1.0
 */
public record AccountTerms(TemplateName template, Parameters parameters) {}
