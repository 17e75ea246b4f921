package org.waxwingbeam.target;

import java.util.Optional;
import java.util.regex.Pattern;
import org.waxwingbeam.model.TargetId;
import org.waxwingbeam.wire.feed.TargetRecord;

/**
 * Validates the records that targets report of themselves. Another writer may have sent them, and a
 * record that cannot be used must not keep an entry instance from using the others.
 *
 * <pre>{@code
 * TargetRecordValidator.fault(record).ifPresent(fault -> refuse(record, fault));
 * }</pre>
 *
 * @since 0.1.0
 */
public final class TargetRecordValidator {
  /** A target with more slots would appear to be idle under any load. */
  private static final int MAX_SLOTS = 100_000;

  private static final Pattern IPV4 =
      Pattern.compile("(?:(?:25[0-5]|2[0-4]\\d|1?\\d?\\d)(?:\\.(?!$)|$)){4}");

  /** Any text of this form is parsed as an IPv6 address and never looked up as a name. */
  private static final Pattern IPV6 = Pattern.compile("[0-9a-fA-F]*:[0-9a-fA-F:.]{1,40}");

  private TargetRecordValidator() {}

  /** Returns why a record cannot be used, or empty if it can. */
  public static Optional<String> fault(TargetRecord record) {
    if (record.getId().isEmpty()) {
      return Optional.of("target: expected an id, found none");
    }
    if (record.getState() == TargetRecord.State.GONE) {
      // Names only the target that has left.
      return Optional.empty();
    }
    if (!isIpAddress(record.getHost())) {
      return Optional.of("host '%s': expected an IP address".formatted(record.getHost()));
    }
    Optional<String> addressFault = addressFault(record);
    if (addressFault.isPresent()) {
      return addressFault;
    }
    if (record.getSlots() < 1 || record.getSlots() > MAX_SLOTS) {
      return Optional.of("slots %d: expected 1 to %d".formatted(record.getSlots(), MAX_SLOTS));
    }
    if (record.getService().isBlank()) {
      return Optional.of("service: expected a name, found none");
    }
    return Optional.empty();
  }

  private static Optional<String> addressFault(TargetRecord record) {
    try {
      var unused = new TargetId(record.getHost(), record.getPort());
      return Optional.empty();
    } catch (IllegalArgumentException malformed) {
      return Optional.of(malformed.getMessage());
    }
  }

  // A name would be looked up on the event loop.
  private static boolean isIpAddress(String host) {
    return IPV4.matcher(host).matches() || IPV6.matcher(host).matches();
  }
}
