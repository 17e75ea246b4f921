package org.waxwingbeam.operator;

import java.util.List;
import java.util.stream.Collectors;

/**
 * Thrown for a wire message that cannot be decoded into a value of the model.
 *
 * @since 0.1.0
 */
public final class MalformedMessageException extends Exception {
  private static final long serialVersionUID = 1L;

  private final transient List<Fault> faults;

  /**
   * Creates the exception.
   *
   * @param faults all faults of the message, at least one
   */
  public MalformedMessageException(List<Fault> faults) {
    super(faults.stream().map(Fault::message).collect(Collectors.joining("; ")));
    this.faults = List.copyOf(faults);
  }

  /** Returns all faults of the message. */
  public List<Fault> faults() {
    return faults;
  }

  /** Returns the message of each fault. */
  public List<String> reasons() {
    return faults.stream().map(Fault::message).toList();
  }
}
