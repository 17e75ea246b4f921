package org.waxwingbeam.settings;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.waxwingbeam.logging.LogLevel;
import org.waxwingbeam.target.ChoicePolicy;
import org.waxwingbeam.text.Quantity;

/**
 * The keys of the settings files. It is the single source for reading, validation and the
 * operators' documentation.
 *
 * @since 0.1.0
 */
public final class SettingsTable {
  private static final SettingType NAME = new SettingType.Name();
  private static final SettingType ADDRESS = new SettingType.Address();
  private static final SettingType ADDRESSES = new SettingType.AddressList();
  private static final SettingType PATH = new SettingType.FilePath();

  static final SettingKey INSTANCE =
      required("instance", "name", NAME, "Name of this instance; no two have the same.");
  static final SettingKey DATA_CENTRE =
      required("instance", "data-centre", NAME, "Data centre in which this instance runs.");
  static final SettingKey WORKERS =
      optional(
          "instance",
          "workers",
          new SettingType.Range(Quantity.NUMBER, 1, 64),
          "2",
          "Event loops that serve callers and targets.");
  static final SettingKey CALLERS =
      required("callers", "listen", ADDRESS, "Where callers connect.");
  static final SettingKey HEADER_LIMIT =
      optional(
          "callers",
          "header-limit",
          new SettingType.Range(Quantity.SIZE, 1L << 10, 1L << 20),
          "16 KiB",
          "Longest request head.");
  static final SettingKey HEADER_TIMEOUT =
      optional(
          "callers",
          "header-timeout",
          new SettingType.Range(Quantity.DURATION, 100, 600_000),
          "10 s",
          "Longest time for a request head to arrive.");
  static final SettingKey KEEP_ALIVE_IDLE =
      optional(
          "callers",
          "keep-alive-idle",
          new SettingType.Range(Quantity.DURATION, 100, 3_600_000),
          "60 s",
          "Longest time that an unused connection of a caller is kept.");
  static final SettingKey TARGETS =
      required("targets", "listen", ADDRESS, "Where targets post their announcements.");
  static final SettingKey PLATFORM =
      required(
          "platform", "listen", ADDRESS, "Where the platform asks for readiness and liveness.");
  static final SettingKey PEERS =
      required("peers", "listen", ADDRESS, "Where other entry instances connect.");
  static final SettingKey PEER_CONTACT =
      optional(
          "peers",
          "contact",
          new SettingType.Range(Quantity.DURATION, 2_000, 60_000),
          "3 s",
          "Longest time after which a silent connection to another instance is replaced.");
  static final SettingKey METRICS =
      required("metrics", "listen", ADDRESS, "Where metrics are read.");
  static final SettingKey CONTROLS =
      required("control", "addresses", ADDRESSES, "Where control replicas await entry instances.");
  static final SettingKey TOKEN_FILE =
      required(
          "control",
          "token-file",
          PATH,
          "File with the credential shared by the system's own processes.");
  static final SettingKey POLICY =
      optional(
          "choice",
          "policy",
          new SettingType.Choice(List.copyOf(ChoicePolicy.all().keySet())),
          ChoicePolicy.DEFAULT_NAME,
          "Policy that chooses targets.");
  static final SettingKey LOG_LEVEL =
      optional(
          "log",
          "level",
          new SettingType.Choice(Arrays.stream(LogLevel.values()).map(LogLevel::code).toList()),
          LogLevel.INFO.code(),
          "Level of detail of the log.");

  static final SettingKey DATA_FOLDER =
      required("instance", "data-folder", PATH, "Folder for every file that must survive.");
  static final SettingKey REPLICAS =
      required("replicas", "listen", ADDRESS, "Where other control replicas connect.");
  static final SettingKey INITIAL_REPLICAS =
      required(
          "replicas",
          "initial",
          ADDRESSES,
          "Replica addresses of the first voters, this one's among them; used only to create the"
              + " cluster.");
  static final SettingKey REPLICA_TOKEN_FILE =
      required(
          "replicas",
          "token-file",
          PATH,
          "File with the credential shared by the system's own processes.");
  static final SettingKey REPLICA_CONTACT =
      optional(
          "replicas",
          "contact",
          new SettingType.Range(Quantity.DURATION, 2_000, 60_000),
          "3 s",
          "Longest time after which a silent connection to another process is replaced.");
  static final SettingKey ENTRIES =
      required("entries", "listen", ADDRESS, "Where entry instances connect.");
  static final SettingKey OPERATORS =
      required("operators", "listen", ADDRESS, "Where operators connect.");
  static final SettingKey OPERATOR_TOKEN_FILE =
      required("operators", "token-file", PATH, "File with the operators' credential.");

  /** All keys of an entry instance's settings, in the order of the sample files. */
  public static final List<SettingKey> ENTRY =
      List.of(
          INSTANCE,
          DATA_CENTRE,
          WORKERS,
          CALLERS,
          HEADER_LIMIT,
          HEADER_TIMEOUT,
          KEEP_ALIVE_IDLE,
          TARGETS,
          PLATFORM,
          PEERS,
          PEER_CONTACT,
          METRICS,
          CONTROLS,
          TOKEN_FILE,
          POLICY,
          LOG_LEVEL);

  /** All keys of a control instance's settings, in the order of the sample files. */
  public static final List<SettingKey> CONTROL =
      List.of(
          INSTANCE,
          DATA_FOLDER,
          REPLICAS,
          INITIAL_REPLICAS,
          REPLICA_TOKEN_FILE,
          REPLICA_CONTACT,
          ENTRIES,
          OPERATORS,
          OPERATOR_TOKEN_FILE,
          METRICS,
          LOG_LEVEL);

  private SettingsTable() {}

  private static SettingKey required(String section, String key, SettingType type, String doc) {
    return new SettingKey(section, key, type, Optional.empty(), doc);
  }

  private static SettingKey optional(
      String section, String key, SettingType type, String defaultText, String doc) {
    return new SettingKey(section, key, type, Optional.of(defaultText), doc);
  }
}
