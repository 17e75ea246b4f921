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
 * Reads announcements from JSON and checks them.
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
    } catch (InvalidFieldException wrong) {
      return new Invalid(wrong.field, wrong.found, wrong.expected);
    }
  }

  private static TargetAnnouncement convert(Announcement wire) throws InvalidFieldException {
    return new TargetAnnouncement(
        name("service", wire.getService(), ServiceName::new),
        target(wire),
        name("version", wire.getVersion(), VersionName::new),
        name("dataCentre", wire.getDataCentre(), DataCentreName::new),
        inRange("bootId", wire.getBootId(), 1, Long.MAX_VALUE),
        (int) inRange("slots", wire.getSlots(), 1, TargetAnnouncement.MAX_SLOTS),
        (int) inRange("coldCapacity", wire.getColdCapacity(), 1, wire.getSlots()),
        state(wire),
        inRange(
            "timeToLiveMs",
            wire.getTimeToLiveMs(),
            TargetAnnouncement.MIN_TIME_TO_LIVE_MS,
            TargetAnnouncement.MAX_TIME_TO_LIVE_MS));
  }

  private static <T> T name(String field, String value, Function<String, T> constructor)
      throws InvalidFieldException {
    try {
      return constructor.apply(value);
    } catch (InvalidNameException malformed) {
      throw new InvalidFieldException(field, value, NAME_FORM, malformed);
    }
  }

  private static TargetId target(Announcement wire) throws InvalidFieldException {
    if (wire.getHost().isBlank()) {
      throw new InvalidFieldException("host", wire.getHost(), "an IP address", null);
    }
    return new TargetId(wire.getHost(), (int) inRange("port", wire.getPort(), 1, MAX_PORT));
  }

  private static long inRange(String field, long value, long least, long greatest)
      throws InvalidFieldException {
    if (value < least || value > greatest) {
      throw new InvalidFieldException(
          field, Long.toString(value), "%d to %d".formatted(least, greatest), null);
    }
    return value;
  }

  private static State state(Announcement wire) throws InvalidFieldException {
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
   * Tells whether an announcement could be read.
   *
   * @since 0.1.0
   */
  public sealed interface ParseResult {}

  /**
   * A well-formed announcement.
   *
   * @param announcement what the target says
   */
  public record Valid(TargetAnnouncement announcement) implements ParseResult {}

  /**
   * A malformed announcement.
   *
   * @param field the offending field, or empty text if nothing could be read
   * @param found the offending value
   * @param expected what was expected
   */
  public record Invalid(String field, String found, String expected) implements ParseResult {}

  /** Reports the first field that is wrong. */
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
