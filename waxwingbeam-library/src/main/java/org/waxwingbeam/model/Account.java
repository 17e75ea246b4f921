package org.waxwingbeam.model;

import java.util.List;
import java.util.Optional;

/**
 * A client account and the templates that it may use.
 *
 * @param name the name of the client account
 * @param terms one entry for each template that the account may use
 * @since 0.1.0
 */
public record Account(AccountName name, List<AccountTerms> terms) {
  /** Creates an account with a copy of the list of terms. */
  public Account {
    terms = List.copyOf(terms);
  }

  /** Returns the terms for a template, or empty if the account may not use it. */
  public Optional<AccountTerms> termsFor(TemplateName template) {
    return terms.stream().filter(each -> each.template().equals(template)).findFirst();
  }
}
