package org.waxwingbeam.operator;

/**
 * One fault of a change or of a wire message.
 *
 * <pre>{@code
 * Fault fault = new Fault("template 'listing' route 'page' path pattern", "page", "a leading '/'");
 * fault.message(); // template 'listing' route 'page' path pattern 'page': expected a leading '/'
 * }</pre>
 *
 * @param subject the faulty part
 * @param found the value that was found
 * @param expected what was expected instead of it
 * @since 0.1.0
 */
public record Fault(String subject, String found, String expected) {
  /** Returns the fault as one sentence. */
  public String message() {
    return "%s '%s': expected %s".formatted(subject, found, expected);
  }
}
