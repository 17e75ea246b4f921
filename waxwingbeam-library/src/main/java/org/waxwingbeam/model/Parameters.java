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

  private final Map<Parameter, Long> explicitValues;

  private Parameters(Map<Parameter, Long> stated) {
    this.explicitValues = stated;
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
    copy.putAll(explicitValues);
    copy.put(parameter, value);
    return new Parameters(Collections.unmodifiableMap(copy));
  }

  /** Returns a copy in which every value that the given parameters state takes precedence. */
  public Parameters overriddenBy(Parameters overrides) {
    Map<Parameter, Long> copy = new EnumMap<>(Parameter.class);
    copy.putAll(explicitValues);
    copy.putAll(overrides.explicitValues);
    return new Parameters(Collections.unmodifiableMap(copy));
  }

  /** Returns the stated value, or the parameter's default. */
  public long value(Parameter parameter) {
    return explicitValues(parameter).orElse(parameter.defaultValue());
  }

  /** Returns the value if it is stated here. */
  public Optional<Long> explicitValues(Parameter parameter) {
    return Optional.ofNullable(explicitValues.get(parameter));
  }

  /** Returns every stated value, in the order of {@link Parameter}. */
  public Map<Parameter, Long> explicitValues() {
    return explicitValues;
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof Parameters that && explicitValues.equals(that.explicitValues);
  }

  @Override
  public int hashCode() {
    return explicitValues.hashCode();
  }

  @Override
  public String toString() {
    return explicitValues.toString();
  }
}
