package org.waxwingbeam.control;

import java.util.List;
import org.waxwingbeam.model.DataCentreName;
import org.waxwingbeam.model.InstanceName;
import org.waxwingbeam.settings.Endpoint;

/**
 * A numbered list of the live entry instances, issued by the leading control replica.
 *
 * @param number increases with each change of the list
 * @param members in the order of their names
 * @since 0.1.0
 */
public record EntryView(long number, List<Member> members) {
  /** The view before the first one is issued. */
  public static final EntryView EMPTY = new EntryView(0, List.of());

  /** Copies the list of members. */
  public EntryView {
    members = List.copyOf(members);
  }

  /**
   * One live entry instance.
   *
   * @param name the instance
   * @param dataCentre where it runs
   * @param peers the address at which it listens for other entry instances
   */
  public record Member(InstanceName name, DataCentreName dataCentre, Endpoint peers) {}
}
