package org.waxwingbeam.operator;

/**
 * Says what is wrong with a change.
 *
 * <pre>{@code
 * Fault fault = new Fault("template 'listing' route 'page' path pattern", "page", "a leading '/'");
 * fault.sentence(); // template 'listing' route 'page' path pattern 'page': expected a leading '/'
 * }</pre>
 *
 * @param subject the part of the change that is wrong
 * @param found the offending value
 * @param expected what was expected instead
 * @since 0.1.0
 */
public record Fault(String subject, String found, String expected) {
  /** Returns the fault as one sentence. */
  public String message() {
    return "%s '%s': expected %s".formatted(subject, found, expected);
  }
}
