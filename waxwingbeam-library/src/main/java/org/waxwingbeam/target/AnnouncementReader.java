package org.waxwingbeam.target;

import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.util.JsonFormat;
import java.util.function.Function;
import org.waxwingbeam.model.DataCentreName;
import org.waxwingbeam.model.InvalidNameException;
import org.waxwingbeam.model.ServiceName;
import org.waxwingbeam.model.TargetId;
import org.waxwingbeam.model.VersionName;
import org.waxwingbeam.target.TargetAnnouncement.State;
import org.waxwingbeam.wire.target.Announcement;

/**
 * Parses and validates target announcements in JSON.
 *
 * <pre>{@code
 * switch (AnnouncementReader.read(json)) {
 *   case AnnouncementReader.Valid valid -> registry.announce(now, valid.announcement());
 *   case AnnouncementReader.Invalid invalid -> refuse(invalid);
 * }
 * }</pre>
 *
 * @since 0.1.0
 */
public final class AnnouncementReader {
  private static final String NAME_FORM =
      "1 to 63 lower-case letters, digits, dots or hyphens, starting with a letter or digit";
  private static final int MAX_PORT = 65_535;

  private AnnouncementReader() {}

  /**
   * Reads one announcement.
   *
   * @param json the JSON form of {@code waxwingbeam.target.Announcement}
   */
  public static ParseResult read(String json) {
    Announcement.Builder wire = Announcement.newBuilder();
    try {
      JsonFormat.parser().merge(json, wire);
      return new Valid(convert(wire.build()));
    } catch (InvalidProtocolBufferException malformed) {
      return new Invalid("", malformed.getMessage(), "an announcement as JSON");
    } catch (InvalidFieldException invalid) {
      return new Invalid(invalid.field, invalid.found, invalid.expected);
    }
  }

  private static TargetAnnouncement convert(Announcement wire) throws InvalidFieldException {
    return new TargetAnnouncement(
        parseName("service", wire.getService(), ServiceName::new),
        parseTarget(wire),
        parseName("version", wire.getVersion(), VersionName::new),
        parseName("dataCentre", wire.getDataCentre(), DataCentreName::new),
        requireInRange("bootId", wire.getBootId(), 1, Long.MAX_VALUE),
        (int) requireInRange("slots", wire.getSlots(), 1, TargetAnnouncement.MAX_SLOTS),
        (int) requireInRange("coldCapacity", wire.getColdCapacity(), 1, wire.getSlots()),
        parseState(wire),
        requireInRange(
            "timeToLiveMs",
            wire.getTimeToLiveMs(),
            TargetAnnouncement.MIN_TIME_TO_LIVE_MS,
            TargetAnnouncement.MAX_TIME_TO_LIVE_MS));
  }

  private static <T> T parseName(String field, String value, Function<String, T> constructor)
      throws InvalidFieldException {
    try {
      return constructor.apply(value);
    } catch (InvalidNameException malformed) {
      throw new InvalidFieldException(field, value, NAME_FORM, malformed);
    }
  }

  private static TargetId parseTarget(Announcement wire) throws InvalidFieldException {
    if (wire.getHost().isBlank()) {
      throw new InvalidFieldException("host", wire.getHost(), "an IP address", null);
    }
    return new TargetId(wire.getHost(), (int) requireInRange("port", wire.getPort(), 1, MAX_PORT));
  }

  private static long requireInRange(String field, long value, long min, long max)
      throws InvalidFieldException {
    if (value < min || value > max) {
      throw new InvalidFieldException(
          field, Long.toString(value), "%d to %d".formatted(min, max), null);
    }
    return value;
  }

  private static State parseState(Announcement wire) throws InvalidFieldException {
    return switch (wire.getState()) {
      case COLD -> State.COLD;
      case WARM -> State.WARM;
      case DRAINING -> State.DRAINING;
      case STATE_UNSPECIFIED, UNRECOGNIZED ->
          throw new InvalidFieldException(
              "state", wire.getState().name(), "COLD, WARM or DRAINING", null);
    };
  }

  /**
   * Result of parsing an announcement.
   *
   * @since 0.1.0
   */
  public sealed interface ParseResult {}

  /**
   * A well-formed announcement.
   *
   * @param announcement the parsed announcement
   */
  public record Valid(TargetAnnouncement announcement) implements ParseResult {}

  /**
   * A malformed announcement.
   *
   * @param field the name of the invalid field, or empty text if the JSON could not be parsed
   * @param found the invalid value, or the error message of the JSON parser
   * @param expected what was expected
   */
  public record Invalid(String field, String found, String expected) implements ParseResult {}

  /** Thrown for the first invalid field. */
  private static final class InvalidFieldException extends Exception {
    private static final long serialVersionUID = 1L;

    private final String field;
    private final String found;
    private final String expected;

    InvalidFieldException(String field, String found, String expected, Throwable cause) {
      super("%s '%s': expected %s".formatted(field, found, expected), cause);
      this.field = field;
      this.found = found;
      this.expected = expected;
    }
  }
}
