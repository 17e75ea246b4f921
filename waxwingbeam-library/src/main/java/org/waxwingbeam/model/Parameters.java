package org.waxwingbeam.model;

import java.util.Collections;
import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;

/**
 * Holds the parameter values that a template or a client account states.
 *
 * <pre>{@code
 * Parameters stated = Parameters.NONE.with(Parameter.DEADLINE, 2_000);
 * long deadlineMs = stated.value(Parameter.DEADLINE);
 * }</pre>
 *
 * @since 0.1.0
 */
public final class Parameters {
  /** States no value. */
  public static final Parameters NONE = new Parameters(Map.of());

  private final Map<Parameter, Long> stated;

  private Parameters(Map<Parameter, Long> stated) {
    this.stated = stated;
  }

  /**
   * Returns a copy that states one more value.
   *
   * @throws IllegalArgumentException if the value is out of the parameter's range
   */
  public Parameters with(Parameter parameter, long value) {
    if (value < parameter.min() || value > parameter.max()) {
      throw new IllegalArgumentException(
          "%s = %d: expected %d to %d"
              .formatted(parameter.key(), value, parameter.min(), parameter.max()));
    }
    Map<Parameter, Long> copy = new EnumMap<>(Parameter.class);
    copy.putAll(stated);
    copy.put(parameter, value);
    return new Parameters(Collections.unmodifiableMap(copy));
  }

  /** Returns a copy in which every value that the given parameters state takes precedence. */
  public Parameters overriddenBy(Parameters overrides) {
    Map<Parameter, Long> copy = new EnumMap<>(Parameter.class);
    copy.putAll(stated);
    copy.putAll(overrides.stated);
    return new Parameters(Collections.unmodifiableMap(copy));
  }

  /** Returns the stated value, or the parameter's default. */
  public long value(Parameter parameter) {
    return stated(parameter).orElse(parameter.defaultValue());
  }

  /** Returns the value if it is stated here. */
  public Optional<Long> stated(Parameter parameter) {
    return Optional.ofNullable(stated.get(parameter));
  }

  /** Returns every stated value, in the order of {@link Parameter}. */
  public Map<Parameter, Long> stated() {
    return stated;
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof Parameters that && stated.equals(that.stated);
  }

  @Override
  public int hashCode() {
    return stated.hashCode();
  }

  @Override
  public String toString() {
    return stated.toString();
  }
}
