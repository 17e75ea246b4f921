package org.waxwingbeam.operator;

import java.util.List;
import java.util.SortedMap;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;
import org.waxwingbeam.model.Account;
import org.waxwingbeam.model.AccountName;
import org.waxwingbeam.model.Configuration;
import org.waxwingbeam.model.DataCentreName;
import org.waxwingbeam.model.ServiceName;
import org.waxwingbeam.model.Template;
import org.waxwingbeam.model.TemplateName;
import org.waxwingbeam.model.VersionMove;

/**
 * Validates changes and applies them to configurations. The result depends only on the arguments,
 * so that every replica and every entry instance computes the same configuration.
 *
 * <pre>{@code
 * EditResult result = ConfigurationEditor.apply(configuration, change, acceptedMs);
 * }</pre>
 *
 * @since 0.1.0
 */
public final class ConfigurationEditor {
  private ConfigurationEditor() {}

  /**
   * Applies a change if it has no fault.
   *
   * @param configuration the configuration before the change
   * @param change the change
   * @param acceptedMs when the change is accepted, in milliseconds since the epoch
   * @return the next configuration, or all faults of the change
   */
  public static EditResult apply(Configuration configuration, Change change, long acceptedMs) {
    List<Fault> faults = ChangeValidator.faults(configuration, change, acceptedMs);
    if (!faults.isEmpty()) {
      return new EditResult.Refused(faults);
    }
    Draft draft = new Draft(configuration);
    draft.apply(change, acceptedMs);
    return new EditResult.Accepted(draft.build());
  }

  /** A mutable copy of a configuration to which one valid change is applied. */
  private static final class Draft {
    private final Configuration before;
    private final SortedMap<TemplateName, Template> templates;
    private final SortedMap<AccountName, Account> accounts;
    private final SortedSet<DataCentreName> dataCentresOut;
    private final SortedMap<ServiceName, VersionMove> moves;

    Draft(Configuration before) {
      this.before = before;
      templates = new TreeMap<>(before.templates());
      accounts = new TreeMap<>(before.accounts());
      dataCentresOut = new TreeSet<>(before.dataCentresOut());
      moves = new TreeMap<>(before.moves());
    }

    void apply(Change change, long acceptedMs) {
      switch (change) {
        case Change.PutTemplate put -> templates.put(put.template().name(), put.template());
        case Change.RemoveTemplate remove -> templates.remove(remove.template());
        case Change.PutAccount put -> accounts.put(put.account().name(), put.account());
        case Change.RemoveAccount remove -> accounts.remove(remove.account());
        case Change.TakeDataCentreOut out -> dataCentresOut.add(out.dataCentre());
        case Change.BringDataCentreIn in -> dataCentresOut.remove(in.dataCentre());
        case Change.MoveVersion move -> putMove(MoveRules.start(before, move, acceptedMs));
        case Change.AdvanceMove advance -> putMove(MoveRules.advance(before, advance));
        case Change.RollBackMove back -> putMove(MoveRules.rollBack(before, back));
      }
    }

    private void putMove(VersionMove move) {
      moves.put(move.service(), move);
    }

    Configuration build() {
      return new Configuration(before.number() + 1, templates, accounts, dataCentresOut, moves);
    }
  }
}
