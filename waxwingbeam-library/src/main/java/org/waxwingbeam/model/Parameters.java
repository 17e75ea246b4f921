package org.waxwingbeam.model;

import java.util.Collections;
import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;

/**
 * The parameter values that a template or a client account sets explicitly.
 *
 * <pre>{@code
 * Parameters parameters = Parameters.NONE.with(Parameter.DEADLINE, 2_000);
 * long deadlineMs = parameters.value(Parameter.DEADLINE);
 * }</pre>
 *
 * @since 0.1.0
 */
public final class Parameters {
  /** Parameters without explicit values. */
  public static final Parameters NONE = new Parameters(Map.of());

  private final Map<Parameter, Long> explicitValues;

  private Parameters(Map<Parameter, Long> explicitValues) {
    this.explicitValues = explicitValues;
  }

  /**
   * Returns a copy with one more explicit value.
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

  /** Returns a copy in which the explicit values of the given parameters take precedence. */
  public Parameters overriddenBy(Parameters overrides) {
    Map<Parameter, Long> copy = new EnumMap<>(Parameter.class);
    copy.putAll(explicitValues);
    copy.putAll(overrides.explicitValues);
    return new Parameters(Collections.unmodifiableMap(copy));
  }

  /** Returns the explicit value, or the parameter's default. */
  public long value(Parameter parameter) {
    return explicitValue(parameter).orElse(parameter.defaultValue());
  }

  /** Returns the explicit value, if there is one. */
  public Optional<Long> explicitValue(Parameter parameter) {
    return Optional.ofNullable(explicitValues.get(parameter));
  }

  /** Returns the explicit values, in the order of {@link Parameter}. */
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
