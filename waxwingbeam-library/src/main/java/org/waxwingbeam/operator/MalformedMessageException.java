package org.waxwingbeam.operator;

import java.util.List;
import java.util.stream.Collectors;

/**
 * Reports a wire message that stands for no value of the model.
 *
 * @since 0.1.0
 */
public final class MalformedMessageException extends Exception {
  private static final long serialVersionUID = 1L;

  private final transient List<Fault> faults;

  /**
   * Creates the exception.
   *
   * @param faults everything that is wrong with the message, at least one
   */
  public MalformedMessageException(List<Fault> faults) {
    super(faults.stream().map(Fault::message).collect(Collectors.joining("; ")));
    this.faults = List.copyOf(faults);
  }

  /** Returns everything that is wrong with the message. */
  public List<Fault> faults() {
    return faults;
  }

  /** Returns one sentence for each fault. */
  public List<String> reasons() {
    return faults.stream().map(Fault::message).toList();
  }
}
